"""Tests of requests that targets run without answering, by each method."""

import pytest

from fakes.fleet_target import Received, ScriptedConnection, answer_whole
from fakes.forwarder_fleet import CHANGE, CRASHER, LOOK, ForwarderFleet

METHODS = ('GET', 'PUT', 'DELETE', 'OPTIONS', 'POST')
# Tries of a route that may be repeated.
MAX_TRIES = 2
# Refusals that promise that a request has not run.
NOT_RUN = {408, 421, 429, 503}


@pytest.mark.parametrize('method', METHODS)
class TestLostAnswers:
    """Answers lost at targets that go on."""

    async def test_change_ran_twice(self, method):
        """TWICE: a change ran again at the target that lost its answer."""
        fleet = ForwarderFleet(answer=reset)
        async with fleet.exit_stack:
            await fleet.open(targets=2, forwarders=1)
            answer = await fleet.ask(0, b'change', CHANGE, method=method)
        assert len(fleet.arrivals) == 1
        assert answer.status == 502

    async def test_lookup_exceeded_its_tries(self, method):
        """BUDGET: a try counted as one although it reached a target twice."""
        fleet = ForwarderFleet(answer=reset)
        async with fleet.exit_stack:
            await fleet.open(targets=3, forwarders=1)
            await fleet.ask(0, b'look', LOOK, method=method)
        assert len(fleet.arrivals) == MAX_TRIES


@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('refuses', [False, True])
class TestCrashes:
    """Targets that crash while they run a request.

    Afterwards they refuse connections, or reset them.
    """

    async def test_change_was_answered_as_not_run(self, method, refuses):
        """REFUSED: a change that had run was answered 503."""
        fleet = ForwarderFleet(answer=answer_whole, refuses=refuses)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1)
            answer = await fleet.ask(0, CRASHER, CHANGE, method=method)
        assert fleet.count_arrivals(CRASHER) == 1
        assert answer.status not in NOT_RUN

    async def test_crash_was_no_evidence(self, method, refuses):
        """BUDGET: a request went on crashing targets and was not refused."""
        fleet = ForwarderFleet(answer=answer_whole, refuses=refuses)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=1)
            for _ in range(2):
                await fleet.ask(0, CRASHER, LOOK, method=method)
            refused = await fleet.ask(0, CRASHER, LOOK, method=method)
        assert fleet.count_arrivals(CRASHER) == 3
        assert refused.status == 503


async def reset(received: Received, connection: ScriptedConnection) -> None:
    """Lose the answer to a request that has run."""
    connection.reset()

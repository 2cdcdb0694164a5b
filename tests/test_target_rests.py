"""Tests of targets that turn requests away and ask for rest."""

import itertools

from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock

REST_SECONDS = 3.0
# The users allow two requests from this long after the answer on.
UNDER_WAY_SECONDS = 0.5
ALLOWED = 2
TIRED = 't-0'


class TiredTargets:
    """Answers of targets of which some turn all requests away.

    :param tired: names of these targets.
    """

    def __init__(self, *tired: str) -> None:
        self.asked_at: list[float] = []
        self._tired = tired

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Answer at once."""
        name = received.headers['ragwortcourse-expect-instance']
        if name not in self._tired:
            await connection.answer(received)
            return
        self.asked_at.append(read_clock())
        await connection.answer(
            received,
            503,
            b'',
            ragwortcourse_not_executed='1',
            retry_after=f'{REST_SECONDS:g}',
        )

    def count_busiest(self, fleet: ForwarderFleet) -> int:
        """Count the requests in the busiest rest of one target."""
        times = [
            arrival.at for arrival in fleet.arrivals if arrival.target == TIRED
        ]
        return max(
            sum(UNDER_WAY_SECONDS < at - asked < REST_SECONDS for at in times)
            for asked in self.asked_at
        )


class TestTargetThatRests:
    """A target that wants nothing from a daemon for some time."""

    async def test_resting_target_gets_requests(self):
        """A daemon sends nothing to a target that asked it for rest."""
        targets = TiredTargets(TIRED)
        fleet = ForwarderFleet(answer=targets.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=10, forwarders=1)
            statuses = await fleet.send_steadily(b'look', every=0.04, seconds=8)
        assert targets.asked_at
        assert targets.count_busiest(fleet) <= ALLOWED
        assert set(statuses.values()) == {200}

    async def test_all_targets_rest(self):
        """Requests are refused at once until the first rest ends."""
        targets = TiredTargets('t-0', 't-1')
        fleet = ForwarderFleet(answer=targets.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=2, forwarders=1)
            first = await fleet.ask(0, b'look')
            assert first.status == 503
            before = len(fleet.arrivals)
            for _ in itertools.repeat(None, 5):
                refused = await fleet.ask(0, b'look')
                assert refused.status == 503
                assert float(refused.headers['Retry-After']) > (
                    REST_SECONDS - UNDER_WAY_SECONDS
                )
            assert len(fleet.arrivals) == before

"""Tests of targets that turn requests away and ask for rest."""

import asyncio
import dataclasses
import itertools

import pytest

from fakes.fleet_parts import make_plain, make_state
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.target_rests import (
    LONGEST_REST_SECONDS,
    TargetRests,
)

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

    def end(self) -> None:
        """Let all targets serve again."""
        self._tired = ()

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

    async def test_only_target_rests(self):
        """A service with one target is served again after its rest."""
        targets = TiredTargets(TIRED)
        fleet = ForwarderFleet(answer=targets.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1)
            refused = await fleet.ask(0, b'look')
            targets.end()
            await asyncio.sleep(float(refused.headers['Retry-After']))
            assert (await fleet.ask(0, b'look')).status == 200
        assert len(fleet.arrivals) == 2

    async def test_other_daemons_may_send(self):
        """A rest binds only the daemon that was asked for it."""
        targets = TiredTargets(TIRED)
        fleet = ForwarderFleet(answer=targets.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=2)
            for daemon in (0, 1, 0, 1):
                assert (await fleet.ask(daemon, b'look')).status == 503
        assert len(fleet.arrivals) == 2


@pytest.mark.looptime
class TestTargetRests:
    """Rests that one daemon keeps."""

    @pytest.fixture
    def target(self):
        """Target that asks for rest."""
        return make_plain(TIRED)

    @pytest.fixture
    def rests(self, target):
        """Rests of a daemon that lists the target."""
        return TargetRests(state=make_state(target))

    async def test_end(self, rests, target):
        """A rest ends by itself."""
        assert rests.read_seconds_left(target) == 0
        rests.note_answer(target, 3)
        await asyncio.sleep(2)
        assert rests.read_seconds_left(target) == pytest.approx(1)
        await asyncio.sleep(2)
        assert rests.read_seconds_left(target) == 0

    async def test_shorter_rest(self, rests, target):
        """A later answer does not shorten a rest."""
        rests.note_answer(target, 3)
        rests.note_answer(target, 0.5)
        assert rests.read_seconds_left(target) == 3
        rests.note_answer(target, 4)
        assert rests.read_seconds_left(target) == 4

    async def test_new_incarnation(self, rests, target):
        """A restarted target has asked for nothing."""
        rests.note_answer(target, 3)
        restarted = dataclasses.replace(target, born=target.born + 1)
        assert rests.read_seconds_left(restarted) == 0

    async def test_very_long_rest(self, rests, target):
        """A target that asks for years is asked again some time later."""
        rests.note_answer(target, 1e9)
        assert rests.read_seconds_left(target) == LONGEST_REST_SECONDS

    async def test_ended_rests_are_dropped(self, rests, target):
        """A rest takes no memory once another target rests."""
        for number in range(100):
            rests.note_answer(make_plain(f'p-{number}'), 1)
            await asyncio.sleep(2)
        assert len(rests) == 1

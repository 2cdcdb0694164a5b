"""Tests of targets that say in their answers that they leave."""

import asyncio

from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock

LEAVER = 't-0'
# Bound of the users on requests after an answer that says it.
DRAIN_SECONDS = 2.0


class LeavingTarget:
    """Answers of targets of which one leaves from some time on.

    The row of that target does not change.
    """

    def __init__(self) -> None:
        self.leaves = False
        self.told_at: float | None = None

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Answer at once."""
        name = received.headers['ragwortcourse-expect-instance']
        if name != LEAVER or not self.leaves:
            await connection.answer(received)
            return
        self.told_at = self.told_at or read_clock()
        await connection.answer(received, server_leaving='1')


def count_arrivals(fleet: ForwarderFleet, *, after: float) -> int:
    """Count the arrivals at the leaving target later than a time."""
    return sum(
        arrival.target == LEAVER and arrival.at > after
        for arrival in fleet.arrivals
    )


class TestLeavingTarget:
    """A target that leaves and says so in its answers alone."""

    async def test_leaving_target_gets_requests(self):
        """A daemon that passed on such an answer sends nothing more."""
        target = LeavingTarget()
        fleet = ForwarderFleet(answer=target.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=1)
            asked = asyncio.ensure_future(
                fleet.send_steadily(b'look', every=0.04, seconds=6)
            )
            await asyncio.sleep(1)
            target.leaves = True
            statuses = await asked
        assert target.told_at is not None
        told_until = target.told_at + DRAIN_SECONDS
        assert count_arrivals(fleet, after=told_until) == 0
        assert set(statuses.values()) == {200}

    async def test_other_daemons_are_told(self):
        """Daemons that got no such answer send nothing more, either."""
        target = LeavingTarget()
        target.leaves = True
        fleet = ForwarderFleet(answer=target.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=3, forwarders=2)
            while target.told_at is None:
                await fleet.ask(0, b'look')
            await asyncio.sleep(1)
            before = count_arrivals(fleet, after=0)
            for _ in range(30):
                assert (await fleet.ask(1, b'look')).status == 200
        assert count_arrivals(fleet, after=0) == before

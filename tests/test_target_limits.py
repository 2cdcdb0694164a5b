"""Tests of limits that targets name for all daemons together."""

import asyncio

import pytest

from fakes.fleet_parts import FLEET
from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.clock import read_clock

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Bound of the users on the requests of all daemons together.
WINDOW_SECONDS = 4
OVERSHOOT = 1.5
SLACK = 5
LIMITED = 't-0'


class LimitedTargets:
    """Answers of targets of which one names a limit.

    :param rate: named limit; none if it names none any more.
    """

    def __init__(self, *, rate: float | None) -> None:
        self.rate = rate
        self.named_at: float | None = None

    async def answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        """Answer at once."""
        name = received.headers['ragwortcourse-expect-instance']
        if name != LIMITED or self.rate is None:
            await connection.answer(received)
            return
        self.named_at = self.named_at or read_clock()
        await connection.answer(
            received, ragwortcourse_server_limit=str(self.rate)
        )


class TestLimitedTarget:
    """A target in need that names a limit to many daemons."""

    @pytest.mark.parametrize('rate', [1, 0])
    async def test_target_gets_more_than_the_limit_it_named(self, rate):
        """All daemons together keep to the limit of a target."""
        limited = LimitedTargets(rate=rate)
        fleet = ForwarderFleet(answer=limited.answer)
        async with fleet.exit_stack:
            await fleet.open(targets=6, forwarders=9)
            statuses = await asyncio.gather(
                *(
                    fleet.send_steadily(body, every=0.05, seconds=9)
                    for body in (b'a', b'b', b'c')
                )
            )
            kept_from = limited.named_at + CONTACT_SECONDS
            busiest = fleet.count_busiest(
                LIMITED, seconds=WINDOW_SECONDS, after=kept_from
            )
            assert busiest <= OVERSHOOT * rate * WINDOW_SECONDS + SLACK
            assert {each for some in statuses for each in some.values()} == {
                200
            }

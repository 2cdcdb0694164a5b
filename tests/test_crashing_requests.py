"""Tests of requests that crash the targets of a forwarder."""

import asyncio

import pytest

from fakes.crash_fleet import CRASHER, CrashFleet
from fakes.fleet_parts import FLEET
from fakes.fleet_target import answer_whole

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Sendings that the users allow once all daemons must know of three crashes.
ALLOWED_RETRIES = 3


@pytest.fixture
async def fleet():
    """Fleet that is closed after the test."""
    opened = CrashFleet(answer=answer_whole)
    async with opened.exit_stack:
        yield opened


class TestCrashingRequest:
    """A request that crashes each target that runs it, at many daemons."""

    async def test_request_that_crashed_three_targets_is_sent_on(self, fleet):
        """A request that crashed three targets is held back everywhere."""
        await fleet.open(targets=8, forwarders=3)
        crashing = asyncio.ensure_future(
            fleet.send_steadily(CRASHER, every=0.1, seconds=6)
        )
        innocent = await fleet.send_steadily(b'look', every=0.05, seconds=6)
        await crashing
        known_from = fleet.ended[2] + CONTACT_SECONDS
        assert fleet.count_arrivals(CRASHER, after=known_from) <= (
            ALLOWED_RETRIES
        )
        assert {
            status for at, status in innocent.items() if at > known_from
        } == {200}

"""Tests of :mod:`ragwortcourse.forwarding.fleet_retry_budget`."""

import asyncio

import pytest

from fakes.fleet_parts import FLEET
from ragwortcourse.forwarding.fleet_retry_budget import FleetRetryBudget

pytestmark = pytest.mark.looptime
DAEMONS = 9
REQUESTS = 90


def spend_all(share: FleetRetryBudget) -> int:
    """Further tries until there is none left."""
    count = 0
    while share.try_spend():
        count += 1
    return count


def make_share() -> FleetRetryBudget:
    """The share of one of nine daemons."""
    share = FleetRetryBudget(fleet=FLEET)
    share.daemons = DAEMONS
    return share


class TestRetryShare:
    """Retries of one daemon."""

    async def test_sum_keeps_the_limit(self):
        """All daemons together keep the limit of the fleet."""
        limit = FLEET.retry_ratio * REQUESTS * DAEMONS + FLEET.retry_reserve
        spent = 0
        for _ in range(DAEMONS):
            share = make_share()
            for _ in range(REQUESTS):
                share.count_first_try()
            spent += spend_all(share)
        assert limit / 2 < spent <= limit

    async def test_whole_window_at_once(self):
        """Streams that end together may all go on."""
        share = make_share()
        for _ in range(REQUESTS):
            share.count_first_try()
        assert spend_all(share) > REQUESTS * FLEET.retry_ratio

    async def test_window_passes(self):
        """What was spent comes back when its window has passed."""
        share = make_share()
        spent = spend_all(share)
        assert not share.try_spend()
        await asyncio.sleep(FLEET.retry_window_seconds + 0.1)
        assert spend_all(share) == spent

    async def test_any_window(self):
        """No sliding window holds more than the share."""
        share = make_share()
        times = []
        for _ in range(300):
            share.count_first_try()
            if share.try_spend():
                times.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
        allowed = 100 * FLEET.retry_ratio + FLEET.retry_reserve / DAEMONS
        for start in times:
            inside = [each for each in times if start <= each < start + 9.9]
            assert len(inside) <= allowed + 1

    async def test_more_daemons(self):
        """A larger fleet leaves each daemon less."""
        small, large = make_share(), make_share()
        large.daemons = 45
        assert spend_all(large) < spend_all(small)

"""Tests of :mod:`ragwortcourse.forwarding.retries.fleet_retry_budget`."""

import asyncio

import pytest

from fakes.fleet_parts import FLEET
from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)

pytestmark = pytest.mark.looptime
DAEMONS = 9
REQUESTS = 90


def spend_all(budget: FleetRetryBudget) -> int:
    """Spend all retries and count them."""
    count = 0
    while budget.try_spend():
        count += 1
    return count


def make_budget() -> FleetRetryBudget:
    """Build the retry budget of one of nine daemons."""
    budget = FleetRetryBudget(fleet=FLEET)
    budget.daemons = DAEMONS
    return budget


class TestRetryShare:
    """Retry budget of one daemon."""

    async def test_sum_keeps_the_limit(self):
        """The retries of all daemons stay within the limit of the fleet."""
        limit = FLEET.retry_ratio * REQUESTS * DAEMONS + FLEET.retry_reserve
        spent = 0
        for _ in range(DAEMONS):
            budget = make_budget()
            for _ in range(REQUESTS):
                budget.count_first_try()
            spent += spend_all(budget)
        assert limit / 2 < spent <= limit

    async def test_whole_window_at_once(self):
        """The budget of a whole window may be spent at once.

        Streams that end together may then all continue.
        """
        budget = make_budget()
        for _ in range(REQUESTS):
            budget.count_first_try()
        assert spend_all(budget) > REQUESTS * FLEET.retry_ratio

    async def test_window_passes(self):
        """Spent retries are available again after the window."""
        budget = make_budget()
        spent = spend_all(budget)
        assert not budget.try_spend()
        await asyncio.sleep(FLEET.retry_window_seconds + 0.1)
        assert spend_all(budget) == spent

    async def test_any_window(self):
        """No sliding window has more retries than the daemon's budget."""
        budget = make_budget()
        times = []
        for _ in range(300):
            budget.count_first_try()
            if budget.try_spend():
                times.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
        allowed = 100 * FLEET.retry_ratio + FLEET.retry_reserve / DAEMONS
        for start in times:
            inside = [each for each in times if start <= each < start + 9.9]
            assert len(inside) <= allowed + 1

    async def test_more_daemons(self):
        """Each daemon of a larger fleet has fewer retries."""
        small, large = make_budget(), make_budget()
        large.daemons = 45
        assert spend_all(large) < spend_all(small)

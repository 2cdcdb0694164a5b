"""Tests of :mod:`ragwortcourse.forwarding.urgency`."""

import dataclasses
import heapq

import pytest

from fakes.fleet_parts import ACCOUNT, make_route
from ragwortcourse.forwarding.urgency import (
    URGENCIES,
    Standing,
    rank_request,
    rank_scheduled,
    read_urgency,
)

WIRE_RANKS = range(10)


def rank(standing: Standing, priority: int = 1, account: int | None = None):
    """Rank a request on a route with a priority.

    :param account: priority of the client account; none: not set.
    """
    return rank_request(
        route=make_route(priority=priority),
        account=dataclasses.replace(ACCOUNT, priority=account),
        standing=standing,
    )


class TestRankRequest:
    """Order in which an engine admits requests."""

    def test_standings(self):
        """Moved streams rank first, late requests last."""
        ranks = [rank(standing) for standing in Standing]
        assert ranks == sorted(ranks)
        assert len(set(ranks)) == len(ranks)

    def test_priority_first(self):
        """A more urgent route ranks first regardless of the standing."""
        assert rank(Standing.LATE, 0) < rank(Standing.MOVED, 1)

    def test_account(self):
        """The priority of the client account overrides that of the route."""
        assert rank(Standing.FRESH, 2, account=0) == rank(Standing.FRESH, 0)

    @pytest.mark.parametrize('priority', [0, 1, 2, 7, 100])
    def test_within_the_wire(self, priority):
        """Every priority maps to a rank that is valid on the wire."""
        assert all(
            rank(standing, priority) in WIRE_RANKS for standing in Standing
        )

    def test_replayed_queue(self):
        """Fresh requests begin in time although late ones queued before them.

        One slot becomes free every 0.1 s. Four late requests wait when four
        fresh requests arrive that must begin within 0.45 s.
        """
        queue = [
            (rank(standing), number, standing)
            for number, standing in enumerate(
                [Standing.LATE] * 4 + [Standing.FRESH] * 4
            )
        ]
        heapq.heapify(queue)
        begun = [heapq.heappop(queue)[2] for _ in range(4)]
        assert begun == [Standing.FRESH] * 4


class TestScheduledUrgency:
    """Urgency of requests of a service that is scheduled."""

    def read(self, route: int, account: int | None) -> int:
        """Read the urgency by the priorities of a route and an account."""
        return read_urgency(
            route=make_route(priority=route),
            account=dataclasses.replace(ACCOUNT, priority=account),
        )

    def test_account_goes_first(self):
        """No route of a usual account goes before one of an urgent account."""
        assert self.read(2, 0) < self.read(0, 1)
        assert self.read(0, 2) > self.read(1, 1)

    @pytest.mark.parametrize('account', [None, 1])
    def test_route_decides(self, account):
        """Among accounts of one priority that of the route counts.

        Where nearly all accounts have one, the least urgent routes were
        served best: all requests were as urgent.
        """
        urgencies = [self.read(priority, account) for priority in range(3)]
        assert urgencies == sorted(set(urgencies))
        assert self.read(9, account) == URGENCIES - 1

    def test_ranks(self):
        """Late requests of an urgency go before fresh ones of the next."""
        ranks = [
            rank_scheduled(
                route=make_route(priority=priority),
                account=ACCOUNT,
                standing=standing,
            )
            for priority in range(3)
            for standing in Standing
        ]
        assert ranks == sorted(ranks)
        assert set(ranks) <= set(WIRE_RANKS)

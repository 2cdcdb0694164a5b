"""Tests of :mod:`ragwortcourse.forwarding.caller_timeouts`."""

import random

import pytest

from fakes.fleet_parts import make_route
from ragwortcourse.forwarding.caller_timeouts import (
    CallerTimeouts,
    find_longest_gap,
)

LIMIT = 6.0


class TestIsFresh:
    """Distinction between first tries and retries."""

    def test_callers_differ(self):
        """First tries with different time limits are recognized.

        Incident: a third of all first tries was taken as late, waited while
        slots were free and was refused under overload.
        """
        rng = random.Random(4)
        times = CallerTimeouts()
        found = [
            times.is_first_try('letters', LIMIT * rng.uniform(0.85, 1))
            for _ in range(500)
        ]
        assert all(found)

    def test_returned(self):
        """The retry of a refused caller is not a first try."""
        times = CallerTimeouts()
        times.is_first_try('letters', LIMIT)
        assert not times.is_first_try('letters', LIMIT - 1.2)

    def test_routes(self):
        """Each route has its own longest time limit."""
        times = CallerTimeouts()
        times.is_first_try('letters', LIMIT)
        assert times.is_first_try('charges', 1.5)


class TestFindLongestGap:
    """Gap of a stream after which callers abandon it."""

    @pytest.mark.parametrize(
        ('objective', 'longest_gap', 'expected'),
        [(0.4, 0.2, 2.0), (0.9, 0.2, 3.6), (0.4, 0.4, 3.2), (0, 0, 2.0)],
    )
    def test_longest(self, objective, longest_gap, expected):
        """The longest of three times holds."""
        route = make_route(objective=objective, longest_gap=longest_gap)
        assert find_longest_gap(route) == pytest.approx(expected)

"""Tests of :mod:`ragwortcourse.forwarding.caller_timeouts`."""

import random

from ragwortcourse.forwarding.caller_timeouts import CallerTimeouts

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

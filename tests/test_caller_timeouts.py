"""Tests of :mod:`ragwortcourse.forwarding.caller_timeouts`."""

import random

from ragwortcourse.forwarding.caller_timeouts import CallerTimeouts

LIMIT = 6.0


class TestIsFresh:
    """Whose first try it is."""

    def test_callers_differ(self):
        """Callers that set out with limits of their own are fresh.

        A third of all first tries was taken for late, waited for slots
        beside free ones and was refused in a crowd.
        """
        rng = random.Random(4)
        times = CallerTimeouts()
        found = [
            times.is_first_try('letters', LIMIT * rng.uniform(0.85, 1))
            for _ in range(500)
        ]
        assert all(found)

    def test_returned(self):
        """A caller that was refused and came back is not."""
        times = CallerTimeouts()
        times.is_first_try('letters', LIMIT)
        assert not times.is_first_try('letters', LIMIT - 1.2)

    def test_routes(self):
        """Each route has a limit of its own."""
        times = CallerTimeouts()
        times.is_first_try('letters', LIMIT)
        assert times.is_first_try('charges', 1.5)

"""Tests of :mod:`ragwortcourse.forwarding.usual_time`."""

import random

from ragwortcourse.forwarding.usual_time import UsualTimes

LIMIT = 6.0


class TestIsFresh:
    """Whose first try it is."""

    def test_callers_differ(self):
        """Callers that set out with limits of their own are fresh.

        A third of all first tries was taken for late, waited for slots
        beside free ones and was refused in a crowd.
        """
        rng = random.Random(4)
        times = UsualTimes()
        found = [
            times.is_fresh('letters', LIMIT * rng.uniform(0.85, 1))
            for _ in range(500)
        ]
        assert all(found)

    def test_returned(self):
        """A caller that was refused and came back is not."""
        times = UsualTimes()
        times.is_fresh('letters', LIMIT)
        assert not times.is_fresh('letters', LIMIT - 1.2)

    def test_routes(self):
        """Each route has a limit of its own."""
        times = UsualTimes()
        times.is_fresh('letters', LIMIT)
        assert times.is_fresh('charges', 1.5)

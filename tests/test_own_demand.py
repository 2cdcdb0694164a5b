"""Tests of :mod:`ragwortcourse.forwarding.scheduling.own_demand`."""

import pytest

from ragwortcourse.forwarding.scheduling.own_demand import OwnDemand

RATE = 10


class TestOwnDemand:
    """Rates at which requests arrive at one daemon."""

    @pytest.mark.parametrize('seconds', [1, 2, 30])
    def test_steady(self, seconds):
        """A daemon that began of late does not take its demand for less.

        If it hears of no others, it reserves by this rate alone, and reserved
        nothing in its first seconds.
        """
        demand = OwnDemand()
        for arrival in range(seconds * RATE):
            demand.note_arrival(0, 100 + arrival / RATE)
        steady = demand.read_steady(100 + seconds)
        assert steady[0] == pytest.approx(RATE, rel=0.1)
        assert not any(steady[1:])

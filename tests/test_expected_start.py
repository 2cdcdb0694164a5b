"""Tests of :mod:`ragwortcourse.forwarding.balancing.expected_start`."""

import pytest

from fakes.fleet_parts import ENGINE_RULES
from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    estimate_pass_seconds,
    estimate_start_seconds,
    estimate_wait,
)
from ragwortcourse.forwarding.balancing.expected_start import estimate_start

DEMAND = Demand(prompt_tokens=977, time_left=0.4)


def make_place(**changes: object) -> TargetOccupancy:
    """Build the occupancy of a full engine with some requests waiting."""
    usual: dict[str, object] = {
        'load': 18,
        'unanswered': 3,
        'slots': 16,
        'engine': ENGINE_RULES,
    }
    return TargetOccupancy(**{**usual, **changes})


class TestEstimateStart:
    """Expected times of a request at a target."""

    def test_usual_pace(self):
        """Targets without a pace are judged as before."""
        expected, place = estimate_start(make_place(), DEMAND), make_place()
        assert expected.wait == estimate_wait(place)
        assert expected.start == estimate_start_seconds(place, DEMAND)
        assert expected.pause == estimate_pass_seconds(place, ENGINE_RULES)

    def test_slow(self):
        """All work takes longer on a busy machine, not only the queue."""
        usual = estimate_start(make_place(), DEMAND)
        slow = estimate_start(make_place(pace=2.5), DEMAND)
        assert slow.wait == pytest.approx(2.5 * usual.wait)
        assert slow.start == pytest.approx(2.5 * usual.start)
        assert slow.pause == pytest.approx(2.5 * usual.pause)

    def test_plain_service(self):
        """A measured latency is not multiplied by the pace it contains."""
        place = make_place(engine=None, load=0, latency=0.09, pace=2.5)
        expected = estimate_start(place, DEMAND)
        assert (expected.total, expected.pause) == (0.09, 0)

"""Tests of :mod:`ragwortcourse.weights.switch_schedule`."""

import random

import pytest

from ragwortcourse.weights.switch_schedule import (
    DRAIN_SECONDS,
    LAST_ORDER_SECONDS,
    is_ready_to_switch,
    schedule_switch,
)

OUT_SECONDS = 0.5


def list_turns(count: int, time_left: float):
    """Schedule the switches of all engines of a service."""
    engines = [f'10.0.0.{number}:1' for number in range(count)]
    return [
        schedule_switch(engines=engines, own=engine, time_left=time_left)
        for engine in engines
    ]


class TestChooseTurn:
    """Times at which engines are ordered to switch."""

    @pytest.mark.parametrize('count', [3, 10, 15, 29])
    def test_most_serve(self, count):
        """Before the last orders, at most 25 % of engines switch at once."""
        turns = list_turns(count, 3.2)
        last = 3.2 - LAST_ORDER_SECONDS
        early = [turn.delay for turn in turns if turn.delay < last]
        for at in early:
            out = sum(at - OUT_SECONDS < other <= at for other in early)
            assert out <= max(1, count * 0.25)

    def test_last_ones(self):
        """The last three of ten engines switch at the latest time."""
        turns = list_turns(10, 3.2)
        last = 3.2 - LAST_ORDER_SECONDS
        assert [turn.delay for turn in turns].count(last) == 3
        assert max(turn.delay for turn in turns) == last

    def test_all_have_patience(self):
        """Each engine has time to drain."""
        assert all(turn.drain_seconds > 0 for turn in list_turns(10, 3.2))

    def test_no_time(self):
        """All engines switch at once after the bound has passed."""
        assert all(turn.delay == 0 for turn in list_turns(8, -5))

    def test_not_listed(self):
        """An engine that is not listed has no requests and does not wait."""
        turn = schedule_switch(engines=['a'], own='b', time_left=3)
        assert turn.delay == 0

    def test_same_everywhere(self):
        """The schedule does not depend on the order of the list."""
        engines = ['a', 'b', 'c']
        turns = {
            schedule_switch(engines=order, own='b', time_left=3).delay
            for order in (engines, engines[::-1])
        }
        assert len(turns) == 1


class TestReadyToSwitch:
    """Number of running requests at which they move to other engines."""

    def test_full(self):
        """A full engine keeps its running requests."""
        assert not is_ready_to_switch(running=16, slots=16)

    def test_half_empty(self):
        """A half empty engine is ordered at once."""
        assert is_ready_to_switch(running=8, slots=16)

    @pytest.mark.parametrize('seed', range(5))
    def test_replay(self, seed):
        """Draining costs less engine time than moving all requests at once.

        Sixteen answers have exponential lengths with a mean of 0.9 s. An
        empty slot costs its share of an engine, and each prompt that is
        processed again costs 0.07 s of an engine.
        """
        rng = random.Random(seed)
        ends = sorted(rng.expovariate(1 / 0.9) for _ in range(16))
        waited = min(ends[7], DRAIN_SECONDS)
        idle = sum(waited - min(end, waited) for end in ends) / 16
        moved = sum(end > waited for end in ends)
        assert idle + moved * 0.07 < 16 * 0.07

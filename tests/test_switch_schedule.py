"""Tests of :mod:`ragwortcourse.weights.switch_schedule`."""

import random

import pytest

from ragwortcourse.weights.switch_schedule import (
    LAST_ORDER_SECONDS,
    PATIENCE_SECONDS,
    is_ready_to_switch,
    schedule_switch,
)

OUT_SECONDS = 0.5


def list_turns(count: int, time_left: float):
    """Turns of all engines of a service."""
    engines = [f'10.0.0.{number}:1' for number in range(count)]
    return [
        schedule_switch(engines=engines, own=engine, time_left=time_left)
        for engine in engines
    ]


class TestChooseTurn:
    """When engines are ordered."""

    @pytest.mark.parametrize('count', [3, 10, 15, 29])
    def test_most_serve(self, count):
        """While time is left, most engines serve at any moment."""
        turns = list_turns(count, 3.2)
        last = 3.2 - LAST_ORDER_SECONDS
        early = [turn.delay for turn in turns if turn.delay < last]
        for at in early:
            out = sum(at - OUT_SECONDS < other <= at for other in early)
            assert out <= max(1, count * 0.25)

    def test_last_ones(self):
        """The last engines go on up to the bound."""
        turns = list_turns(10, 3.2)
        last = 3.2 - LAST_ORDER_SECONDS
        assert [turn.delay for turn in turns].count(last) == 3
        assert max(turn.delay for turn in turns) == last

    def test_all_have_patience(self):
        """Each engine may finish most of what it runs."""
        assert all(turn.drain_seconds > 0 for turn in list_turns(10, 3.2))

    def test_no_time(self):
        """Where the bound has passed, all are ordered at once."""
        assert all(turn.delay == 0 for turn in list_turns(8, -5))

    def test_not_listed(self):
        """An engine that is not listed serves nobody and need not wait."""
        turn = schedule_switch(engines=['a'], own='b', time_left=3)
        assert turn.delay == 0

    def test_same_everywhere(self):
        """The order does not depend on how the list came."""
        engines = ['a', 'b', 'c']
        turns = {
            schedule_switch(engines=order, own='b', time_left=3).delay
            for order in (engines, engines[::-1])
        }
        assert len(turns) == 1


class TestReadyToSwitch:
    """When what still runs on an engine is moved to others."""

    def test_full(self):
        """A full engine goes on with what it runs."""
        assert not is_ready_to_switch(running=16, slots=16)

    def test_half_empty(self):
        """A half empty one is ordered at once."""
        assert is_ready_to_switch(running=8, slots=16)

    @pytest.mark.parametrize('seed', range(5))
    def test_replay(self, seed):
        """Waiting takes less of the engines' time than moving at once.

        Sixteen answers of exponential length, mean 0.9 s, end one after the
        other; empty slots cost their share of an engine, and each prompt
        that is read again 0.07 s of one.
        """
        rng = random.Random(seed)
        ends = sorted(rng.expovariate(1 / 0.9) for _ in range(16))
        waited = min(ends[7], PATIENCE_SECONDS)
        idle = sum(waited - min(end, waited) for end in ends) / 16
        moved = sum(end > waited for end in ends)
        assert idle + moved * 0.07 < 16 * 0.07

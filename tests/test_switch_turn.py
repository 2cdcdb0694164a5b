"""Tests of :mod:`ragwortcourse.weights.switch_turn`."""

import pytest

from ragwortcourse.weights.switch_turn import (
    LAST_ORDER_SECONDS,
    choose_turn,
)

OUT_SECONDS = 0.5


def list_turns(count: int, time_left: float):
    """Turns of all engines of a service."""
    engines = [f'10.0.0.{number}:1' for number in range(count)]
    return [
        choose_turn(engines=engines, own=engine, time_left=time_left)
        for engine in engines
    ]


class TestChooseTurn:
    """When engines are ordered."""

    @pytest.mark.parametrize('count', [3, 10, 15, 29])
    def test_most_serve(self, count):
        """While time is left, most engines serve at any moment."""
        turns = list_turns(count, 3.2)
        early = [turn.delay for turn in turns if not turn.patience]
        for at in early:
            out = sum(at - OUT_SECONDS < other <= at for other in early)
            assert out <= max(1, count * 0.25)

    def test_last_ones_cut_nothing(self):
        """The last engines go on up to the bound and then become idle."""
        turns = list_turns(10, 3.2)
        last = [turn for turn in turns if turn.patience]
        assert len(last) == 3
        assert {turn.delay for turn in last} == {3.2 - LAST_ORDER_SECONDS}

    def test_no_time(self):
        """Where the bound has passed, all are ordered at once."""
        assert all(turn.delay == 0 for turn in list_turns(8, -5))

    def test_not_listed(self):
        """An engine that is not listed serves nobody and need not wait."""
        turn = choose_turn(engines=['a'], own='b', time_left=3)
        assert turn.delay == 0

    def test_same_everywhere(self):
        """The order does not depend on how the list came."""
        engines = ['a', 'b', 'c']
        turns = {
            choose_turn(engines=order, own='b', time_left=3).delay
            for order in (engines, engines[::-1])
        }
        assert len(turns) == 1

"""Tests of :mod:`ragwortcourse.platform.answer_delay`."""

import pytest

from ragwortcourse.platform.answer_delay import PERIOD_SECONDS, AnswerDelay


class TestAnswerDelay:
    """Estimate of the delay of an answer."""

    def test_slower_than_the_fastest(self):
        """The delay is the excess over the fastest answer."""
        delay = AnswerDelay()
        assert delay.measure(stated_at=100, now=5) == 0
        assert delay.measure(stated_at=101, now=8) == pytest.approx(2)
        assert delay.measure(stated_at=104, now=9) == 0

    def test_clocks_that_drift(self):
        """A fastest answer from more than a period before is ignored."""
        delay = AnswerDelay()
        delay.measure(stated_at=0, now=0)
        later = 2 * PERIOD_SECONDS
        delay.measure(stated_at=later - 0.5, now=later)
        assert delay.measure(stated_at=later, now=later + 0.6) == pytest.approx(
            0.1, abs=0.01
        )

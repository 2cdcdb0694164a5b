"""Tests of :mod:`ragwortcourse.clock`."""

import time

import pytest

from ragwortcourse.clock import SuspensionMeter

# Of the monotonic clock, which stands still in these tests.
NOW = 1000.0


class TestSuspensionMeter:
    """Time that the host was suspended."""

    @pytest.fixture
    def clocks(self, monkeypatch):
        """Set both clocks of the system; at first without suspension."""
        clocks = {'boot': NOW, 'monotonic': NOW}
        monkeypatch.setattr(time, 'clock_gettime', lambda _: clocks['boot'])
        monkeypatch.setattr(time, 'monotonic', lambda: clocks['monotonic'])
        return clocks

    def test_suspended(self, clocks):
        """Time in suspension counts at the next reading."""
        meter = SuspensionMeter()
        assert meter.read() == 0
        clocks['boot'] += 5
        assert meter.read() == 5

    def test_preempted_between_the_readings(self, clocks):
        """A reading that was held up between its parts does not go back.

        Incident: CI, test_answer_elsewhere. An answer was dated before the
        loss that it came after, and the request stayed suspected.
        """
        clocks['boot'] += 5
        meter = SuspensionMeter()
        assert meter.read() == 5
        clocks['monotonic'] += 0.002
        assert meter.read() == 5

    def test_preempted_at_first(self, clocks):
        """A first reading that was held up is corrected by the next."""
        clocks['monotonic'] += 0.002
        meter = SuspensionMeter()
        assert meter.read() == 0
        clocks['monotonic'] -= 0.002
        clocks['boot'] += 5
        assert meter.read() == 5

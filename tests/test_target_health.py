"""Tests of :mod:`ragwortcourse.forwarding.target_health`."""

from ragwortcourse.forwarding.target_health import (
    CUT_SECONDS,
    FIRST_AVOIDED_SECONDS,
    HALF_LIFE_SECONDS,
    SAME_FAILURE_SECONDS,
    TargetHealth,
)


class TestOneFailure:
    """A target that fails once, such as by a short silence."""

    def test_avoided_for_a_moment(self):
        """One failure makes others preferred for ``CUT_SECONDS`` only."""
        health = TargetHealth()
        health.note_failure(10)
        assert health.avoided_until == 10 + CUT_SECONDS

    def test_failures_of_one_silence_count_once(self):
        """All requests that one silence fails count as one failure."""
        health = TargetHealth()
        for number in range(16):
            health.note_failure(10 + number * SAME_FAILURE_SECONDS / 16)
        assert health.score_failures(10) == 1
        assert health.avoided_until == 10 + CUT_SECONDS

    def test_score_halves(self):
        """A failure counts half after ``HALF_LIFE_SECONDS``."""
        health = TargetHealth()
        health.note_failure(10)
        assert health.score_failures(10 + HALF_LIFE_SECONDS) == 1 / 2

    def test_silences_do_not_lengthen_the_back_off(self):
        """Only failed connections lengthen the next back-off."""
        health = TargetHealth()
        for now in range(5):
            health.note_failure(now)
        health.note_unreachable(10)
        assert health.avoided_until == 10 + FIRST_AVOIDED_SECONDS
        health.note_unreachable(20)
        assert health.avoided_until == 20 + 2 * FIRST_AVOIDED_SECONDS
        health.note_success()
        health.note_unreachable(30)
        assert health.avoided_until == 30 + FIRST_AVOIDED_SECONDS

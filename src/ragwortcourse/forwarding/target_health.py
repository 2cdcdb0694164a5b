"""Decaying failure score and avoidance of one target."""

import math
from typing import Final

# A failure counts half after this time.
HALF_LIFE_SECONDS: Final = 2.0
# Failures within this time count as one failure with a common cause.
SAME_FAILURE_SECONDS: Final = 0.2
# A target that cuts answers is avoided for this long, as it may be changing
# its weights.
CUT_SECONDS: Final = 0.4
# A target that did not run a request is avoided for this long: some passes of
# an engine.
REFUSED_SECONDS: Final = 0.15
FIRST_AVOIDED_SECONDS: Final = 0.4
LONGEST_AVOIDED_SECONDS: Final = 4.0


class TargetHealth:
    """Failure score of a target.

    ``avoided_until`` is the time, in monotonic seconds, until which other
    targets are preferred.
    """

    def __init__(self) -> None:
        self.avoided_until: float = 0
        self._failures: float = 0
        self._failed_at: float = -SAME_FAILURE_SECONDS
        self._avoided_for: float = FIRST_AVOIDED_SECONDS

    def score_failures(self, now: float) -> float:
        """Score the recent failures, the older ones counting less."""
        return self._failures * math.exp2(
            (self._failed_at - now) / HALF_LIFE_SECONDS
        )

    def note_success(self) -> None:
        """Note a successful answer, which resets the back-off."""
        self._avoided_for = FIRST_AVOIDED_SECONDS

    def note_refusal(self, now: float) -> None:
        """Note a request that the target did not run."""
        self.avoided_until = max(self.avoided_until, now + REFUSED_SECONDS)

    def note_failure(self, now: float) -> None:
        """Note a missing, cut or invalid answer."""
        if now - self._failed_at < SAME_FAILURE_SECONDS:
            return
        self.avoided_until = max(self.avoided_until, now + CUT_SECONDS)
        self._failures = self.score_failures(now) + 1
        self._failed_at = now

    def note_unreachable(self, now: float) -> None:
        """Note a failed connection, with exponential back-off."""
        self.note_failure(now)
        self.avoided_until = now + self._avoided_for
        self._avoided_for = min(self._avoided_for * 2, LONGEST_AVOIDED_SECONDS)

"""Failures of one target, forgotten with time."""

import math
from typing import Final

# A failure counts half after this time.
HALF_LIFE_SECONDS: Final = 2.0
# Answers that end together have one cause.
SAME_FAILURE_SECONDS: Final = 0.2
# A target that cuts answers off may be changing its weights.
CUT_SECONDS: Final = 0.4
# A refusing target is passed by for this long: some passes of an engine.
REFUSED_SECONDS: Final = 0.15
FIRST_AVOIDED_SECONDS: Final = 0.4
LONGEST_AVOIDED_SECONDS: Final = 4.0


class TargetHealth:
    """How much speaks against a target, and until when it is passed by."""

    def __init__(self) -> None:
        self.avoided_until: float = 0
        self._failures: float = 0
        self._failed_at: float = -SAME_FAILURE_SECONDS
        self._avoided_for: float = FIRST_AVOIDED_SECONDS

    def score_failures(self, now: float) -> float:
        """Failures of late, the older ones counting less."""
        return self._failures * math.exp2(
            (self._failed_at - now) / HALF_LIFE_SECONDS
        )

    def note_success(self) -> None:
        """Count a good answer."""
        self._avoided_for = FIRST_AVOIDED_SECONDS

    def note_refusal(self, now: float) -> None:
        """Count a request that the target did not run."""
        self.avoided_until = max(self.avoided_until, now + REFUSED_SECONDS)

    def note_failure(self, now: float) -> None:
        """Count an answer that the target owes or spoilt."""
        if now - self._failed_at < SAME_FAILURE_SECONDS:
            return
        self.avoided_until = max(self.avoided_until, now + CUT_SECONDS)
        self._failures = self.score_failures(now) + 1
        self._failed_at = now

    def note_unreachable(self, now: float) -> None:
        """Count a connection that did not come about."""
        self.note_failure(now)
        self.avoided_until = now + self._avoided_for
        self._avoided_for = min(self._avoided_for * 2, LONGEST_AVOIDED_SECONDS)

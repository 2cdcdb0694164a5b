"""How long answers of the store were on their way."""

import math
from typing import Final

# A fastest answer counts for one to two such periods: longer, and the two
# clocks may have drifted apart by more than a call takes.
PERIOD_SECONDS: Final = 60.0


class AnswerDelay:
    """Compares the store's clock with the own one.

    The fastest answer of late shows how far they are apart; what a slower
    one lies behind that was spent on its way, or unread.
    """

    def __init__(self) -> None:
        self._ends_at = -math.inf
        self._least = math.inf
        self._least_before = math.inf

    def measure(self, *, stated_at: float, now: float) -> float:
        """Seconds by which an answer was slower than the fastest.

        :param stated_at: seconds of the store's clock in the answer.
        :param now: seconds of the own clock, suspension included.
        """
        if now >= self._ends_at:
            is_recent = now < self._ends_at + PERIOD_SECONDS
            self._least_before = self._least if is_recent else math.inf
            self._least = math.inf
            self._ends_at = now + PERIOD_SECONDS
        apart = now - stated_at
        self._least = min(self._least, apart)
        return apart - min(self._least, self._least_before)

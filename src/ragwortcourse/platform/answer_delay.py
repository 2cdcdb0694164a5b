"""Estimate of the time that answers of the store spent in transit."""

import math
from typing import Final

# A minimum is used for one to two periods. Over a longer time the two clocks
# may drift apart by more than the duration of a call.
PERIOD_SECONDS: Final = 60.0


class AnswerDelay:
    """Estimates delays by comparing the store's clock with the local clock.

    The fastest recent answer gives the offset between the two clocks. The
    excess of a slower answer over this offset was spent in transit, or
    waiting to be read.
    """

    def __init__(self) -> None:
        self._period_ends_at = -math.inf
        self._min_offset = math.inf
        self._previous_min_offset = math.inf

    def measure(self, *, stated_at: float, now: float) -> float:
        """Return by how many seconds an answer was slower than the fastest.

        :param stated_at: time of the store's clock in the answer, seconds.
        :param now: time of the local clock, seconds, including time in
            suspension.
        """
        if now >= self._period_ends_at:
            is_recent = now < self._period_ends_at + PERIOD_SECONDS
            self._previous_min_offset = (
                self._min_offset if is_recent else math.inf
            )
            self._min_offset = math.inf
            self._period_ends_at = now + PERIOD_SECONDS
        offset = now - stated_at
        self._min_offset = min(self._min_offset, offset)
        return offset - min(self._min_offset, self._previous_min_offset)

"""Spreads the times at which refused callers are asked to retry."""

import random
from typing import Final

from ragwortcourse.clock import read_clock

# Peak call rate of one entry daemon at the target size of the system.
CLIENT_RETRIES_PER_SECOND: Final = 15.0
LONGEST_WAIT_SECONDS: Final = 60.0


class RetryScheduler:
    """Books a retry slot for each refused caller.

    Callers that are refused at the same time get consecutive slots, at no
    more than ``CLIENT_RETRIES_PER_SECOND``. When all slots within
    ``LONGEST_WAIT_SECONDS`` are booked, a caller gets a random time within
    that window.
    """

    def __init__(self) -> None:
        self._booked: float = 0
        self._booked_at: float = 0

    def book(self, wait: float, rng: random.Random) -> float:
        """Book a slot and return the seconds after which a caller should retry.

        :param wait: seconds after which capacity may be free; jitter adds
            up to the same time again.
        """
        now = read_clock()
        elapsed_slots = (now - self._booked_at) * CLIENT_RETRIES_PER_SECOND
        self._booked = max(self._booked - elapsed_slots, 0)
        self._booked_at = now
        delay = self._booked / CLIENT_RETRIES_PER_SECOND
        if delay > LONGEST_WAIT_SECONDS:
            delay = rng.uniform(0, LONGEST_WAIT_SECONDS)
        else:
            self._booked += 1
        return delay + wait * rng.uniform(1, 2)

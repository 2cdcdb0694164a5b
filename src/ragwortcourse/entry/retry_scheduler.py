"""Times at which refused callers are asked to come back, spread out."""

import random
from typing import Final

from ragwortcourse.clock import read_clock

# What one entry daemon serves at the peak of the target size.
CLIENT_RETRIES_PER_SECOND: Final = 15.0
LONGEST_WAIT_SECONDS: Final = 60.0


class RetryScheduler:
    """Gives each refused caller a later turn than those before it.

    Callers that are refused together come back one after the other, no
    faster than one daemon serves calls; who comes too late for a turn is
    put at random among the rest.
    """

    def __init__(self) -> None:
        self._booked: float = 0
        self._booked_at: float = 0

    def book(self, wait: float, rng: random.Random) -> float:
        """Seconds after which a caller should come back.

        :param wait: seconds after which there may be room for it.
        """
        now = read_clock()
        passed = (now - self._booked_at) * CLIENT_RETRIES_PER_SECOND
        self._booked = max(self._booked - passed, 0)
        self._booked_at = now
        turn = self._booked / CLIENT_RETRIES_PER_SECOND
        if turn > LONGEST_WAIT_SECONDS:
            turn = rng.uniform(0, LONGEST_WAIT_SECONDS)
        else:
            self._booked += 1
        return turn + wait * rng.uniform(1, 2)

"""Signs that a daemon needs retries of others."""

from typing import Final

from ragwortcourse.forwarding.retries.retry_waiters import RetryWaiters
from ragwortcourse.forwarding.retries.time_window import TimeWindow

# Time in which a retry, or a denied one, counts as a sign that more are needed.
RECENT_SECONDS: Final = 1.0


class RetryDemand:
    """Retries of one daemon that were made, denied or waited for recently.

    ``waiters`` are the requests that wait for retries of others.
    """

    def __init__(self) -> None:
        self.waiters = RetryWaiters()
        self._spent = TimeWindow(seconds=RECENT_SECONDS)
        self._denied = TimeWindow(seconds=RECENT_SECONDS)

    def note_spent(self, now: float) -> None:
        """Note a retry."""
        self._spent.add(now)

    def note_denied(self, now: float) -> None:
        """Note a retry for which nothing was left."""
        self._denied.add(now)

    def count_spent(self, now: float) -> int:
        """Count the recent retries."""
        return self._spent.count(now)

    def count_wanted(self, now: float) -> int:
        """Count the retries that are wanted beyond what was left."""
        return max(len(self.waiters), self._denied.count(now))

"""The part of the fleet's retries that one daemon may use.

Load pattern: a failing service makes each daemon repeat requests, and no
daemon knows what the others repeat.
"""

from typing import Final

from ragwortcourse.settings import FleetSettings

# Entry daemons that may be alive. Counted generously: the fleet's limit is
# summed over all of them, and a daemon that misses others must not take
# their part.
DAEMONS_COUNTED: Final = 12
# Part of the limit that is used; arrivals cross the ends of windows.
USED_SHARE: Final = 0.75


class RetryShare:
    """Tokens that first tries earn and further ones spend."""

    def __init__(self, *, fleet: FleetSettings) -> None:
        self._ratio = fleet.retry_ratio * USED_SHARE
        self._most = max(
            fleet.retry_reserve * USED_SHARE / DAEMONS_COUNTED, 1.0
        )
        self._tokens = self._most

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(self._tokens + self._ratio, self._most)

    def spend(self) -> bool:
        """Take one further try, if there is one left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

"""The part of the fleet's retries that one daemon may use.

Load pattern: a failing service makes each daemon repeat requests, and no
daemon knows what the others repeat. Many streams end at once where an engine
is switched or dies: the share of a whole window may be used at once.
"""

import collections
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.settings import FleetSettings

# Entry daemons counted before any has registered: more than a small fleet
# has, as the limit is summed over all of them.
DAEMONS_ASSUMED: Final = 12
# Part of the limit that is used; arrivals cross the ends of windows.
USED_SHARE: Final = 0.8


class FleetRetryBudget:
    """First tries and further ones of the last window.

    ``daemons`` are those that share the limit. Daemons that have ended stay
    registered, so that it is counted generously.
    """

    def __init__(self, *, fleet: FleetSettings) -> None:
        self.daemons = DAEMONS_ASSUMED
        self._window = fleet.retry_window_seconds
        self._ratio = fleet.retry_ratio
        self._reserve = fleet.retry_reserve
        self._first: collections.deque[float] = collections.deque()
        self._further: collections.deque[float] = collections.deque()

    @property
    def left(self) -> int:
        """Further tries that are allowed now."""
        self._forget(self._first)
        self._forget(self._further)
        allowed = len(self._first) * self._ratio
        allowed += self._reserve / self.daemons
        return int(allowed * USED_SHARE) - len(self._further)

    def count_first_try(self) -> None:
        """Count a first try."""
        self._first.append(read_clock())
        self._forget(self._first)

    def try_spend(self) -> bool:
        """Take one further try, if there is one left."""
        if self.left < 1:
            return False
        self._further.append(read_clock())
        return True

    def _forget(self, tries: collections.deque[float]) -> None:
        oldest = read_clock() - self._window
        while tries and tries[0] < oldest:
            tries.popleft()

"""Share of the retry budget of the fleet that one daemon may use.

Load pattern: a failing service makes every daemon retry requests, and no
daemon knows the retries of the others. Many streams end at once when an
engine changes its weights or crashes, so a daemon may use its share of a
whole window at once.
"""

import collections
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.settings import FleetSettings

# Entry daemons assumed before the list of daemons is known: more than a small
# fleet has, as the limit applies to the sum over all daemons.
DAEMONS_ASSUMED: Final = 12
# Share of the limit that is used, as a request near the end of a window may
# count in the next one.
USED_SHARE: Final = 0.8


class FleetRetryBudget:
    """First tries and retries of one daemon in the last window.

    ``daemons`` is the number of daemons that share the limit. It may be too
    high, as daemons that have ended stay registered.

    :param fleet: source of the limits.
    """

    def __init__(self, *, fleet: FleetSettings) -> None:
        self.daemons = DAEMONS_ASSUMED
        self._window = fleet.retry_window_seconds
        self._ratio = fleet.retry_ratio
        self._reserve = fleet.retry_reserve
        self._first: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def count_left(self, *, share: float = 1) -> int:
        """Count the retries that are allowed now.

        :param share: share of the limit that may be used.
        """
        self._drop_expired(self._first)
        self._drop_expired(self._retries)
        allowed = len(self._first) * self._ratio
        allowed += self._reserve / self.daemons
        return int(allowed * USED_SHARE * share) - len(self._retries)

    def count_first_try(self) -> None:
        """Count a first try."""
        self._first.append(read_clock())
        self._drop_expired(self._first)

    def try_spend(self, *, share: float = 1) -> bool:
        """Take one retry from the budget if one is left.

        :param share: share of the limit that may be used.
        """
        if self.count_left(share=share) < 1:
            return False
        self._retries.append(read_clock())
        return True

    def _drop_expired(self, tries: collections.deque[float]) -> None:
        oldest = read_clock() - self._window
        while tries and tries[0] < oldest:
            tries.popleft()

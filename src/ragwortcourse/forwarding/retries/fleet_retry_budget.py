"""Share of the retry budget of the fleet that one daemon may use.

Load pattern: a failing service makes every daemon retry requests, and no
daemon knows the retries of the others. Many streams end at once when an
engine changes its weights or crashes, so a daemon may use its share of a
whole window at once. Or few daemons see all failures, and the shares of the
others lie unused: daemons lend each other what they do not need.
"""

import math
import secrets
from collections.abc import Callable
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.retries.borrowed_retries import (
    VALID_SECONDS,
    BorrowedRetries,
)
from ragwortcourse.forwarding.retries.lent_retries import LentRetries
from ragwortcourse.forwarding.retries.retry_demand import RetryDemand
from ragwortcourse.forwarding.retries.time_window import TimeWindow
from ragwortcourse.settings import FleetSettings

# Entry daemons assumed before the list of daemons is known: more than a small
# fleet has, as the limit applies to the sum over all daemons.
DAEMONS_ASSUMED: Final = 12
# Share of the limit that is used, as a request near the end of a window may
# count in the next one. The rest of the reserve is for restarted daemons,
# whose predecessors may have used or lent all of their own.
USED_SHARE: Final = 0.8
RESTARTED_SHARE: Final = 1 - USED_SHARE
# Part of its share of the reserve that a daemon lends at most. Its own first
# retry in a window waits for nobody in fleets of up to fifty daemons.
LENT_SHARE: Final = 0.75
# Part of the own share from whose use on a daemon asks others, and which it
# keeps in stock while it retries requests.
ASKING_SHARE: Final = 0.5
# Clocks of two daemons drift apart by less than this while a grant is held.
DRIFT_SECONDS: Final = 0.1
WHOLE: Final = 1.0


class FleetRetryBudget:
    """First tries and retries of one daemon in the last window.

    ``daemons`` is the number of daemons that share the limit. It may be too
    high, as daemons that have ended stay registered. ``has_lenders`` is true
    while other daemons can be asked.

    :param fleet: source of the limits.
    :param read_now: clock that counts suspension, as limits of other daemons
        keep running while this one is suspended.
    """

    def __init__(
        self,
        *,
        fleet: FleetSettings,
        read_now: Callable[[], float] = read_clock_with_suspend,
    ) -> None:
        window = fleet.retry_window_seconds
        self.daemons = DAEMONS_ASSUMED
        self.has_lenders = False
        self.demand = RetryDemand()
        self.hold_seconds = window + VALID_SECONDS + DRIFT_SECONDS
        self.lent = LentRetries(hold_seconds=self.hold_seconds)
        self.borrowed = BorrowedRetries(incarnation=secrets.token_hex(4))
        self.read_now = read_now
        self._fleet = fleet
        self._restarted_until = -math.inf
        self._first = TimeWindow(seconds=window)
        self._retries = TimeWindow(seconds=window)

    @property
    def may_lend(self) -> bool:
        """Tell whether a window has passed since any predecessor ended."""
        return self.read_now() > self._restarted_until

    @property
    def portion(self) -> float:
        """Most retries that one daemon lends another."""
        return self._reserve_share * LENT_SHARE

    def note_predecessor(self) -> None:
        """Note that a daemon of this name may have run until now.

        What it used, lent and borrowed is unknown, and counts as all that it
        could have until no window holds a use of it.
        """
        self._restarted_until = self.read_now() + self.hold_seconds

    def count_left(self, *, share: float = WHOLE) -> int:
        """Count the retries that are allowed now.

        :param share: share of the own limit that may be used; retries of
            others are left out if it is not the whole.
        """
        own = int(self._limit_own() * share) - self.count_used()
        if share < WHOLE:
            return own
        return max(own, 0) + self.borrowed.count_left(self.read_now())

    def count_used(self) -> int:
        """Count the retries of the own share in the last window."""
        return self._retries.count(self.read_now())

    def count_first_try(self) -> None:
        """Count a first try."""
        self._first.add(self.read_now())

    def try_spend(self, *, share: float = WHOLE) -> bool:
        """Take one retry from the budget if one is left, an own one first.

        :param share: share of the own limit that may be used; retries of
            others are left out if it is not the whole.
        """
        now = self.read_now()
        if int(self._limit_own() * share) > self.count_used():
            self._retries.add(now)
            self.demand.note_spent(now)
            return True
        if share < WHOLE:
            return False
        if self.borrowed.spend(now):
            self.demand.note_spent(now)
            return True
        self.demand.note_denied(now)
        return False

    async def wait_for_grant(self, seconds: float) -> bool:
        """Wait until other daemons lent a retry; false if none came in time."""
        if self.has_lenders and self.may_lend and seconds > 0:
            return await self.demand.waiters.wait(seconds)
        return False

    def compute_need(self) -> float:
        """Compute how many retries to ask other daemons for."""
        now = self.read_now()
        recent = self.demand.count_spent(now)
        wanted = self.demand.count_wanted(now)
        own = max(int(self._limit_own()), 0)
        is_idle = not wanted and not recent
        if is_idle or not self.may_lend or not self._is_asking(own):
            return 0
        stock = max(own * ASKING_SHARE, recent * ASKING_SHARE)
        covered = self.count_left() + self.borrowed.count_awaited(now)
        return max(wanted + stock - covered, 0)

    def compute_lendable(self) -> float:
        """Compute how many retries this daemon may lend now."""
        limit = self._limit_own()
        if not self.may_lend or self._is_asking(int(limit)):
            return 0
        held = self.lent.count_held(self.read_now())
        return max(min(self.portion - held, limit - self.count_used()), 0)

    @property
    def _reserve_share(self) -> float:
        share = USED_SHARE if self.may_lend else RESTARTED_SHARE
        return self._fleet.retry_reserve / self.daemons * share

    def _is_asking(self, own: int) -> bool:
        """Tell whether much of the own share is used, so that it is kept."""
        used = self.count_used()
        if used:
            return used >= own * ASKING_SHARE
        return own < 1 and self.demand.count_wanted(self.read_now()) > 0

    def _limit_own(self) -> float:
        """Compute the own share of the last window without what is lent."""
        now = self.read_now()
        ratio = self._first.count(now) * self._fleet.retry_ratio * USED_SHARE
        return ratio + self._reserve_share - self.lent.count_held(now)

"""Freshness of the rows that a daemon passes on to others."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.row_cache import RowCache

Confirm = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowFreshness:
    """Limits on the age of the rows in a cache.

    :param longest_age: age in seconds above which rows are not passed on to
        a daemon that states no limit of its own. It counts from the call that
        confirmed the rows.
    :param confirm: asks the store whether the rows are the newest; None if
        other daemons can state no limit.
    """

    cache: RowCache
    longest_age: float
    confirm: Confirm | None = None

    def read_seconds_left(self, limit: float | None) -> float:
        """Return the seconds for which the rows are still fresh.

        :param limit: age in seconds that the asking daemon accepts, counted
            from the moment at which the rows were complete; None for the
            usual limit.
        """
        now = read_boot_clock()
        if limit is None or self.confirm is None:
            return self.cache.confirmed_at + self.longest_age - now
        return self.cache.complete_at + limit - now

    async def regain(self, limit: float | None, *, hold: float) -> None:
        """Wait until rows that are not fresh can be, if the store is reached.

        :param limit: as for :meth:`read_seconds_left`.
        :param hold: seconds to wait for a confirmation that is under way.
        """
        if self.cache.is_cut_off or self.read_seconds_left(limit) >= 0:
            return
        if limit is None or self.confirm is None:
            await self.cache.await_confirmation(hold)
        else:
            await self.confirm()

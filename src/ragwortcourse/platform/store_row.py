"""Rows of the platform's store."""

import dataclasses
import math

from ragwortcourse.platform.store_position import UNKNOWN_ERA, StorePosition


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRow:
    """One row of a read or a change.

    :param content: None for a row that was deleted.
    :param held: true for a row that the store lacks since it was restored,
        kept until the operators can have written it again.
    """

    key: str
    content: bytes | None
    held: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRows:
    """Rows as of one moment.

    :param revision: newest transaction that the answer includes.
    :param era: era of that transaction.
    :param age: seconds between the moment at which the rows were certainly
        the newest and the request; negative if that moment is after it.
    :param rows_age: seconds for which the oldest of these rows may have been
        in the store when the call returned.
    :param known_age: seconds since the rows were known to be complete, when
        the call returned.
    :param delay: seconds between the call and the request that was answered,
        spent on asking other daemons.
    :param regained_ago: seconds since the daemon that gave the answer, or one
        that it asked, could reach the store again; infinite if it never lost
        the store.
    :param unreached_ago: seconds since an earlier one of the overlapping calls
        would have been answered; infinite if there was none.
    """

    rows: tuple[StoreRow, ...]
    revision: int
    age: float = 0
    rows_age: float = 0
    known_age: float = 0
    delay: float = 0
    era: int = UNKNOWN_ERA
    regained_ago: float = math.inf
    unreached_ago: float = math.inf

    @property
    def position(self) -> StorePosition:
        """Return the newest transaction that the answer includes."""
        return StorePosition(era=self.era, revision=self.revision)

    def add_delay(self, seconds: float) -> 'StoreRows':
        """Return these rows with time spent before their request."""
        return dataclasses.replace(self, delay=self.delay + seconds)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryGone:
    """The store no longer has the changes after the requested revision."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSilent:
    """The store, or the daemon asked instead, did not answer or refused.

    :param detail: error text for the log.
    :param is_reading: true if a daemon answered that is still at its first
        read and has no rows yet.
    :param is_cut_off: true if a daemon answered that can't reach the store.
    :param is_behind: true if a daemon answered whose rows are not fresh, while
        it waits for the store itself.
    :param overdue: seconds for which an answer was awaited in vain; zero
        after an error.
    """

    detail: str
    is_reading: bool = False
    is_cut_off: bool = False
    is_behind: bool = False
    overdue: float = 0


Answer = StoreRows | HistoryGone | StoreSilent

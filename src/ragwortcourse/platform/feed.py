"""Feed of the changes of one table of the platform's store."""

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_restored,
)
from ragwortcourse.platform.store_row import (
    HistoryGone,
    StoreRow,
    StoreRows,
    StoreSilent,
)

# Shortest backoff between two calls while the store fails; half of it is
# jitter.
RETRY_SECONDS: Final = 0.25
# Backoff as a share of the wait of a call: whoever may hear late of a change
# calls a failing store less often.
RETRY_SHARE: Final = 0.25
# Longest backoff of a feed whose rows may lapse while the store is away.
REGAIN_SECONDS: Final = 0.5

# A single reset connection does not mean that the store is lost; the next
# call shows whether it is.
FAILURES_TO_LOSE: Final = 2

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableHandler:
    """Callbacks for the rows of a table.

    :param replace: takes all rows of the table, and for how many seconds
        changes may have been in the store unread; infinite on the first
        read.
    :param change: takes the changed rows, for how many seconds they may have
        been in the store unread, and for how many the rows were not known to
        be complete before. Rows of a daemon near by may be young after a long
        gap, in which a row may have changed more than once.
    :param confirm: takes a boot-clock time at which the rows were up to
        date; derived from the time at which the call was sent.
    :param lose: called when two or more calls in a row have failed; takes the
        seconds since the last of them was sent.
    :param restore: called before ``replace`` if the rows are of a newer era
        than those before: changes made since the store was copied are missing.
    :param regain: called on the first success after a failure, and on answers
        of daemons that had lost the store, before ``replace`` or ``change``;
        takes the seconds since the store could be reached again, and since it
        could not be reached.
    :param lapses: whether rows of living writers end while the store is away.
    """

    replace: Callable[[tuple[StoreRow, ...], float], None]
    change: Callable[[tuple[StoreRow, ...], float, float], None]
    confirm: Callable[[float], None]
    lose: Callable[[float], None]
    restore: Callable[[], None]
    regain: Callable[[float, float], None]
    lapses: bool = False


class TableSource(Protocol):
    """Source of the rows of a feed."""

    @property
    def newest_era(self) -> int:
        """Return the newest era that the store has stated in any answer."""

    async def read_table(
        self, table: str
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Read every row of a table."""

    async def await_changes(
        self, table: str, after: StorePosition, *, wait: float, known_at: float
    ) -> StoreRows | HistoryGone | StoreSilent:
        """Wait for changes after a position; no rows if the time is up.

        The rows of a newer era than that of the position are not complete.
        """


class TableFeed:
    """Passes the rows of one table and their changes to a handler.

    :param wait: seconds that one call waits for a change; bounds the age
        of the rows that the handler has.
    :param pause: seconds between a change and the next call; changes in
        quick succession are then read together.
    :param spread: longest delay of a read of the whole table after the history
        was lost. All daemons lose it at once, and the store takes a number of
        calls a second from all of them.
    """

    def __init__(
        self,
        *,
        store: TableSource,
        table: str,
        wait: float,
        handler: TableHandler,
        rng: random.Random,
        pause: float = 0,
        spread: float = 0,
    ) -> None:
        self._retry_seconds = max(RETRY_SECONDS, wait * RETRY_SHARE)
        if handler.lapses:
            self._retry_seconds = min(self._retry_seconds, REGAIN_SECONDS)
        self._pause_seconds = pause
        self._spread_seconds = spread
        self._store = store
        self._table = table
        self._wait = wait
        self._handler = handler
        self._rng = rng
        self._position: StorePosition | None = None
        self._era = UNKNOWN_ERA
        self._heard_era = UNKNOWN_ERA
        self._lost = False
        self._failures = 0
        self._unreached_at = -math.inf
        self._known_at = -math.inf

    async def follow(self) -> None:
        """Follow the table forever; retry failed calls after a pause."""
        while True:
            if self._hears_of_restore():
                await self._start_over()
            sent_at = read_boot_clock()
            await self._handle(await self._ask(), sent_at)

    async def _handle(
        self, answer: StoreRows | HistoryGone | StoreSilent, sent_at: float
    ) -> None:
        if isinstance(answer, StoreRows) and self._has_all_changes(answer):
            self._pass_on(answer, sent_at)
            if self._pause_seconds and answer.rows:
                await asyncio.sleep(self._pause_seconds)
        elif isinstance(answer, StoreSilent):
            await self._back_off(answer, sent_at)
        else:
            await self._start_over()

    async def _ask(self) -> StoreRows | HistoryGone | StoreSilent:
        if self._position is None:
            return await self._store.read_table(self._table)
        # After a failed call the rows may have changed long ago, so the store
        # must not be taken to have answered at the moment of a change.
        return await self._store.await_changes(
            self._table,
            self._position,
            wait=0 if self._lost else self._wait,
            known_at=self._known_at,
        )

    def _hears_of_restore(self) -> bool:
        """Tell, once for each era, whether the position is of an earlier one.

        Another feed may have heard of it. That saves a call without an answer.
        """
        newest, heard = self._store.newest_era, self._heard_era
        self._heard_era = newest
        known = self._position
        return known is not None and newest > max(heard, known.era)

    async def _start_over(self) -> None:
        position = self._position
        LOGGER.info(
            'change history unavailable; reading the whole table',
            extra={
                'table': self._table,
                'era': position and position.era,
                'revision': position and position.revision,
            },
        )
        self._position = None
        await asyncio.sleep(self._rng.uniform(0, self._spread_seconds))

    def _has_all_changes(self, answer: StoreRows) -> bool:
        """Tell whether the answer has all changes since the position."""
        known = self._position
        return known is None or answer.era <= known.era

    def _pass_on(self, answer: StoreRows, sent_at: float) -> None:
        self._failures = 0
        if self._lost:
            self._lost = False
            LOGGER.info('store regained', extra={'table': self._table})
            unreached_ago = read_boot_clock() - self._unreached_at
            self._handler.regain(0, min(unreached_ago, answer.unreached_ago))
        elif math.isfinite(answer.regained_ago):
            self._handler.regain(answer.regained_ago, answer.regained_ago)
        unread_seconds = read_boot_clock() - self._known_at
        if self._position is None:
            if is_restored(self._era, answer.era):
                self._handler.restore()
            self._handler.replace(answer.rows, unread_seconds)
        elif answer.rows:
            self._handler.change(answer.rows, answer.rows_age, unread_seconds)
        known_at = read_boot_clock() - answer.known_age
        self._known_at = max(self._known_at, known_at)
        self._era = max(self._era, answer.era)
        self._position = _advance(self._position, answer.position)
        self._handler.confirm(sent_at + answer.delay - answer.age)

    async def _back_off(self, answer: StoreSilent, sent_at: float) -> None:
        if not self._lost:
            self._lost = True
            LOGGER.warning(
                'store lost',
                extra={'table': self._table, 'detail': answer.detail},
            )
        self._failures += 1
        self._unreached_at = read_boot_clock() - answer.overdue
        if self._failures >= FAILURES_TO_LOSE:
            self._handler.lose(read_boot_clock() - sent_at)
        pause = self._retry_seconds * self._rng.uniform(0.5, 1)
        await asyncio.sleep(max(0, pause - answer.overdue))


def _advance(known: StorePosition | None, read: StorePosition) -> StorePosition:
    """Return the position from which to continue after an answer.

    Daemons that answer in turn may be at different revisions of one era. An
    answer of an older era, or of another read of the whole table, tells
    nothing about changes at the known position.
    """
    if known is None or known.era != read.era:
        return read
    return max(known, read)

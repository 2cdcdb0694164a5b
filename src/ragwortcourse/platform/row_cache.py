"""Cache of the rows of one table, from which a daemon answers others."""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Iterable

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_restored,
)
from ragwortcourse.platform.store_row import HistoryGone, StoreRow, StoreRows


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRow:
    """A row and the time of its last change.

    :param revision: transaction at or before which the row was changed.
    :param present_since: boot-clock time at or before the change.
    """

    row: StoreRow
    revision: int
    present_since: float


class RowCache:
    """The newest rows, including deleted ones, and their freshness.

    :param witness: cache of another table of the same store. Answers about
        any table state the newest transaction of the whole store.
    :ivar position: newest transaction read; None until the table was read.
    :ivar confirmed_at: boot-clock time at which the rows were certainly the
        newest: when the answer that confirmed them was requested.
    :ivar known_at: boot-clock time at which that answer was given.
    :ivar is_cut_off: true while neither the store nor the upstream daemons
        answer.
    :ivar is_refused: true if the store refused the last of these calls rather
        than left it without an answer.
    :ivar regained_at: boot-clock time at which the store could last be
        reached again, by this daemon or one that it asked.
    """

    def __init__(self, *, witness: 'RowCache | None' = None) -> None:
        self._witness = witness
        self.position: StorePosition | None = None
        self.confirmed_at: float = 0
        self.known_at: float = 0
        self.is_cut_off = False
        self.is_refused = False
        self.regained_at = -math.inf
        self._oldest_revision = 0
        self._is_restored = False
        self._rows: dict[str, CachedRow] = {}
        self._changed = asyncio.Event()
        self._confirmed = asyncio.Event()

    @property
    def complete_at(self) -> float:
        """Boot-clock time at which the rows were certainly complete.

        They are complete for as long as the store has no newer transaction.
        """
        other = self._witness
        if other is None or other.position is None or self.position is None:
            return self.known_at
        if not self.position.includes(other.position):
            return self.known_at
        return max(self.known_at, other.known_at)

    def replace(self, answer: StoreRows, sent_at: float) -> None:
        """Replace the cache by the whole table."""
        if self.position is not None:
            self._is_restored |= is_restored(self.position.era, answer.era)
        self._rows.clear()
        self._oldest_revision = answer.revision
        self.position = answer.position
        # The age of these rows is unknown, so ``list_after`` must never return
        # them; it answers ``HistoryGone`` to older revisions.
        self.change(answer, sent_at)
        self._wake()

    def change(self, answer: StoreRows, sent_at: float) -> None:
        """Apply changes to the cache.

        :param sent_at: boot-clock time at which the call was sent.
        """
        now = read_boot_clock()
        for row in answer.rows:
            self._rows[row.key] = CachedRow(
                row=row,
                revision=answer.revision,
                present_since=now - answer.rows_age,
            )
        self.position = max(self.position or answer.position, answer.position)
        confirmed_at = sent_at + answer.delay - answer.age
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self._confirmed.set()
            self._confirmed = asyncio.Event()
        self.known_at = max(self.known_at, now - answer.known_age)
        self.regained_at = max(self.regained_at, now - answer.regained_ago)
        if answer.rows:
            self._wake()

    def note_cut_off(
        self, *, is_cut_off: bool, is_refused: bool = True
    ) -> None:
        """Set ``is_cut_off``; wake the waiting calls if it is true."""
        self.is_refused = is_cut_off and is_refused
        if self.is_cut_off and not is_cut_off:
            self.regained_at = read_boot_clock()
        self.is_cut_off = is_cut_off
        if is_cut_off:
            self._wake()

    def list_after(self, after: StorePosition) -> StoreRows | HistoryGone:
        """List rows changed after a position, including deleted ones.

        :param after: a position without an era is that of a daemon of an
            older release.
        """
        if self.position is None or after.revision < self._oldest_revision:
            return HistoryGone()
        if self._is_of_other_era(after, self.position):
            return HistoryGone()
        return self._build_answer(
            [
                each
                for each in self._rows.values()
                if each.revision > after.revision
            ]
        )

    def list_all(self) -> StoreRows:
        """List every row that is not deleted."""
        return self._build_answer(list(self._list_present()))

    def list_rows(self) -> tuple[StoreRow, ...]:
        """List every row that is not deleted, without its freshness."""
        return tuple(each.row for each in self._list_present())

    async def await_change(self, seconds: float) -> None:
        """Wait until a row has changed or the time is up.

        The wait also ends when the rows can no longer be confirmed.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    async def await_confirmation(self, seconds: float) -> None:
        """Wait until the rows are confirmed again or the time is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._confirmed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list_present(self) -> Iterable[CachedRow]:
        return (
            each for each in self._rows.values() if each.row.content is not None
        )

    def _is_of_other_era(
        self, after: StorePosition, newest: StorePosition
    ) -> bool:
        if after.era == UNKNOWN_ERA:
            # The revision may have been given out again since.
            return self._is_restored and after.revision > newest.revision
        return after.era != newest.era

    def _build_answer(self, found: list[CachedRow]) -> StoreRows:
        now = read_boot_clock()
        position = self.position or StorePosition(era=UNKNOWN_ERA, revision=0)
        return StoreRows(
            rows=tuple(each.row for each in found),
            revision=position.revision,
            era=position.era,
            rows_age=max(
                (now - each.present_since for each in found), default=0
            ),
            known_age=now - self.complete_at,
        )

"""Cache of the rows of one table, from which a daemon answers others."""

import asyncio
import dataclasses

from ragwortcourse.forwarding.fleet_state import read_boot_clock
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

    :ivar revision: newest transaction read; None until the table was read.
    :ivar confirmed_at: boot-clock time at which the rows were certainly the
        newest: when the answer that confirmed them was requested.
    :ivar known_at: boot-clock time at which that answer was given.
    :ivar is_cut_off: true while neither the store nor the upstream daemons
        answer.
    """

    def __init__(self) -> None:
        self.revision: int | None = None
        self.confirmed_at: float = 0
        self.known_at: float = 0
        self.is_cut_off = False
        self._oldest_revision = 0
        self._rows: dict[str, CachedRow] = {}
        self._changed = asyncio.Event()

    def replace(self, answer: StoreRows, sent_at: float) -> None:
        """Replace the cache by the whole table."""
        self._rows.clear()
        self._oldest_revision = answer.revision
        # The age of these rows is unknown, so ``list_after`` must never return
        # them; it answers ``HistoryGone`` to older revisions.
        self.change(answer, sent_at)

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
        self.revision = max(self.revision or 0, answer.revision)
        confirmed_at = sent_at + answer.delay - answer.age
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.known_at = max(self.known_at, now - answer.known_age)
        if answer.rows:
            self._wake()

    def note_cut_off(self, *, is_cut_off: bool) -> None:
        """Set ``is_cut_off``; wake the waiting calls if it is true."""
        self.is_cut_off = is_cut_off
        if is_cut_off:
            self._wake()

    def list_after(self, revision: int) -> StoreRows | HistoryGone:
        """List rows changed after a revision, including deleted ones."""
        if self.revision is None or revision < self._oldest_revision:
            return HistoryGone()
        return self._build_answer(
            [each for each in self._rows.values() if each.revision > revision]
        )

    def list_all(self) -> StoreRows:
        """List every row that is not deleted."""
        return self._build_answer(
            [
                each
                for each in self._rows.values()
                if each.row.content is not None
            ]
        )

    async def await_change(self, seconds: float) -> None:
        """Wait until a row has changed or the time is up.

        The wait also ends when the rows can no longer be confirmed.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _build_answer(self, found: list[CachedRow]) -> StoreRows:
        now = read_boot_clock()
        return StoreRows(
            rows=tuple(each.row for each in found),
            revision=self.revision or 0,
            rows_age=max(
                (now - each.present_since for each in found), default=0
            ),
            known_age=now - self.known_at,
        )

"""Rows of one table as a daemon last read them, kept for others."""

import asyncio
import dataclasses

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_row import HistoryGone, StoreRow, StoreRows


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedRow:
    """A row, and when it was changed.

    :param revision: transaction at or before which it was changed.
    :param there_since: boot clock; no later than the change.
    """

    row: StoreRow
    revision: int
    there_since: float


class RowCache:
    """The newest rows, dropped ones included, and how fresh they are.

    ``revision`` is none until the table was read; ``confirmed_at`` is the
    boot clock at which the rows were the newest for sure, when the answer
    that said so was asked for, ``known_at`` when it was given; ``is_cut_off``
    is true while neither the store nor those that are asked first answer.
    """

    def __init__(self) -> None:
        self.revision: int | None = None
        self.confirmed_at: float = 0
        self.known_at: float = 0
        self.is_cut_off = False
        self._oldest = 0
        self._rows: dict[str, CachedRow] = {}
        self._changed = asyncio.Event()

    def replace(self, answer: StoreRows, sent_at: float) -> None:
        """Take the whole table over."""
        self._rows.clear()
        self._oldest = answer.revision
        # How long these were there is not known, nor told as changes.
        self.change(answer, sent_at)

    def change(self, answer: StoreRows, sent_at: float) -> None:
        """Take changes over.

        :param sent_at: boot clock at which the call was sent.
        """
        now = read_boot_clock()
        for row in answer.rows:
            self._rows[row.key] = CachedRow(
                row=row,
                revision=answer.revision,
                there_since=now - answer.rows_age,
            )
        self.revision = max(self.revision or 0, answer.revision)
        confirmed_at = sent_at + answer.delay - answer.age
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.known_at = max(self.known_at, now - answer.known_age)
        if answer.rows:
            self._wake()

    def note_cut_off(self, *, is_cut_off: bool) -> None:
        """Note whether the rows can be confirmed; who waits for them hears."""
        self.is_cut_off = is_cut_off
        if is_cut_off:
            self._wake()

    def list_after(self, revision: int) -> StoreRows | HistoryGone:
        """Rows that changed after a revision, dropped ones included."""
        if self.revision is None or revision < self._oldest:
            return HistoryGone()
        return self._describe(
            [each for each in self._rows.values() if each.revision > revision]
        )

    def list_all(self) -> StoreRows:
        """Every row there is."""
        return self._describe(
            [
                each
                for each in self._rows.values()
                if each.row.content is not None
            ]
        )

    async def await_change(self, seconds: float) -> None:
        """Return once a row has changed, or the time is up.

        It returns early where the rows can't be confirmed any more.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, found: list[CachedRow]) -> StoreRows:
        now = read_boot_clock()
        return StoreRows(
            rows=tuple(each.row for each in found),
            revision=self.revision or 0,
            rows_age=max((now - each.there_since for each in found), default=0),
            known_age=now - self.known_at,
        )

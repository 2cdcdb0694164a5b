"""Read of a whole table, in as many pages as the store makes of it.

Load pattern: thousands of rows change while their pages cross a narrow line.
Each page is of a moment of its own, so that a change to a row of an early page
is in no later one. Changes after the first page are therefore read behind the
last one, which ends the read however fast the rows change.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import (
    Answer,
    HistoryGone,
    StoreRows,
    StoreSilent,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablePage:
    """One page of a table.

    :param rows: rows of the page, as of its own moment.
    :param next_key: lowest key of the next page; None for the last page.
    """

    rows: StoreRows
    next_key: str | None


class PagedStore(Protocol):
    """Store that answers reads of a table with one page at a time."""

    async def read_page(
        self, table: str, first_key: str
    ) -> TablePage | StoreSilent:
        """Read one page of a table, from a key on."""

    async def await_changes(
        self, table: str, after: StorePosition, *, wait: float, known_at: float
    ) -> Answer:
        """Wait for changes after a position."""


async def read_whole_table(store: PagedStore, table: str) -> Answer:
    """Read every row of a table, as of one moment.

    :return: ``HistoryGone`` if the pages can't be brought to one moment: the
        store was restored meanwhile, or has discarded the changes between
        them.
    """
    began_at = read_boot_clock()
    pages = await _read_pages(store, table)
    if isinstance(pages, StoreSilent):
        return pages
    oldest, newest = pages[0].position, pages[-1].position
    if any(page.era != oldest.era for page in pages):
        return HistoryGone()
    rows = {row.key: row for page in pages for row in page.rows}
    read = dataclasses.replace(pages[-1], revision=oldest.revision)
    while read.position < newest:
        asked_at = read_boot_clock()
        changes = await store.await_changes(
            table, read.position, wait=0, known_at=began_at
        )
        if not isinstance(changes, StoreRows):
            return changes
        if changes.era != oldest.era or changes.position <= read.position:
            return HistoryGone()
        rows.update({row.key: row for row in changes.rows})
        read = changes.add_delay(asked_at - began_at)
    present = (row for row in rows.values() if row.content is not None)
    return dataclasses.replace(read, rows=tuple(present))


async def _read_pages(
    store: PagedStore, table: str
) -> Sequence[StoreRows] | StoreSilent:
    """Read the pages of a table, each with its delay since the first call."""
    began_at = read_boot_clock()
    pages: list[StoreRows] = []
    next_key: str | None = ''
    while next_key is not None:
        asked_at = read_boot_clock()
        page = await store.read_page(table, next_key)
        if isinstance(page, StoreSilent):
            return page
        pages.append(page.rows.add_delay(asked_at - began_at))
        next_key = page.next_key
    return pages

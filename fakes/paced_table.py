"""A table service that bears only so many reads and writes a second."""

import asyncio

from ragwortcourse.storage.table import (
    CommitOutcome,
    ConditionalWrite,
    ReadOutcome,
    TableKey,
    TableService,
)


class Pacer:
    """Lets one pass after the other, at a rate."""

    def __init__(self, rate: float) -> None:
        self._seconds = 1 / rate
        self._free_at = 0.0
        self.longest = 0.0

    async def wait(self) -> None:
        """Return when it is this one's turn."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + self._seconds
        self.longest = max(self.longest, self._free_at - now)
        await asyncio.sleep(self._free_at - now)


def pace_table(
    table: TableService, reads: Pacer, writes: Pacer
) -> TableService:
    """The same table, behind what all its clients together may ask.

    :param reads: shared by all clients, and so is the other.
    """

    async def read(key: TableKey) -> ReadOutcome:
        await reads.wait()
        return await table.read(key)

    async def commit(rows: tuple[ConditionalWrite, ...]) -> CommitOutcome:
        await writes.wait()
        return await table.commit(rows)

    return TableService(read=read, commit=commit)

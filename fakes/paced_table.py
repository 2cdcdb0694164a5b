"""A table service with limited rates of reads and writes."""

import asyncio

from ragwortcourse.storage.table import (
    CommitOutcome,
    ConditionalWrite,
    ReadOutcome,
    TableKey,
    TableService,
)


class Pacer:
    """Delays requests so that they pass one by one at a fixed rate.

    :param rate: requests per second.
    :ivar longest: longest delay of a request so far, in seconds.
    """

    def __init__(self, rate: float) -> None:
        self._seconds = 1 / rate
        self._free_at = 0.0
        self.longest = 0.0

    async def wait(self) -> None:
        """Wait until this request may pass."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + self._seconds
        self.longest = max(self.longest, self._free_at - now)
        await asyncio.sleep(self._free_at - now)


def pace_table(
    table: TableService, reads: Pacer, writes: Pacer
) -> TableService:
    """Limit the rates of a table service.

    :param reads: pacer of reads, shared by all clients.
    :param writes: pacer of commits, shared by all clients.
    """

    async def read(key: TableKey) -> ReadOutcome:
        await reads.wait()
        return await table.read(key)

    async def commit(rows: tuple[ConditionalWrite, ...]) -> CommitOutcome:
        await writes.wait()
        return await table.commit(rows)

    return TableService(read=read, commit=commit)

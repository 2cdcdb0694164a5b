"""Batching of claim writes into shared transactions."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.detached_tasks import end_task
from ragwortcourse.storage.table import (
    CommitOutcome,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    NotCommitted,
    TableService,
)

COMMIT_INTERVAL_SECONDS: Final = 0.03
BATCH_LIMIT: Final = 64
PENDING_LIMIT: Final = 2048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """Write that waits to be committed, with the future of its outcome."""

    write: ConditionalWrite
    outcome: asyncio.Future[CommitOutcome]


class ClaimBatcher:
    """Commits a single claim at once and concurrent claims in batches.

    The batcher stores nothing. Claiming daemons that lose an outcome write
    the same claim again and recognize their own row by its token.

    :param interval: seconds from the start of one transaction to the start
        of the next.
    """

    def __init__(
        self,
        *,
        table: TableService,
        interval: float = COMMIT_INTERVAL_SECONDS,
    ) -> None:
        self._table = table
        self._interval = interval
        self._waiting: list[PendingWrite] = []
        self._writer: asyncio.Task[None] | None = None
        self._last_at = -interval
        self._is_stopped = False

    async def commit(self, write: ConditionalWrite) -> CommitOutcome:
        """Write one claim, alone or in a batch."""
        if self._is_stopped:
            return NotCommitted(detail='this daemon is stopping')
        if len(self._waiting) >= PENDING_LIMIT:
            return CommitUnknown(detail='too many claims wait')
        loop = asyncio.get_running_loop()
        waiting = PendingWrite(write=write, outcome=loop.create_future())
        self._waiting.append(waiting)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())
        return await waiting.outcome

    async def stop(self) -> None:
        """Stop writing; the outcome of pending writes is unknown."""
        self._is_stopped = True
        await end_task(self._writer)
        _settle(self._waiting, CommitUnknown(detail='the writer has ended'))
        self._waiting.clear()

    async def _write_all(self) -> None:
        while self._waiting:
            wait = self._last_at + self._interval - read_clock()
            if wait > 0:
                await asyncio.sleep(wait)
            self._last_at = read_clock()
            await self._write(self._take_batch())

    def _take_batch(self) -> list[PendingWrite]:
        """Take the oldest writes, at most one per key."""
        batch: dict[str, PendingWrite] = {}
        remaining: list[PendingWrite] = []
        for waiting in self._waiting:
            key = waiting.write.key
            if key in batch or len(batch) >= BATCH_LIMIT:
                remaining.append(waiting)
            else:
                batch[key] = waiting
        self._waiting = remaining
        return list(batch.values())

    async def _write(self, batch: list[PendingWrite]) -> None:
        writes = tuple(waiting.write for waiting in batch)
        try:
            outcome = await self._table.commit(writes)
        except Exception as error:
            # A faulty table adapter must not block claiming requests forever.
            outcome = CommitUnknown(detail=repr(error))
        except asyncio.CancelledError as error:
            _settle(batch, CommitUnknown(detail=repr(error)))
            raise
        if not isinstance(outcome, ConditionFailed):
            _settle(batch, outcome)
            return
        failed = dict(zip(outcome.keys, outcome.rows, strict=True))
        rest: list[PendingWrite] = []
        for waiting in batch:
            key = waiting.write.key
            if key in failed:
                found = ConditionFailed(rows=(failed[key],), keys=(key,))
                _settle([waiting], found)
            else:
                rest.append(waiting)
        if rest:
            await self._write(rest)


def _settle(batch: list[PendingWrite], outcome: CommitOutcome) -> None:
    for waiting in batch:
        if not waiting.outcome.done():
            waiting.outcome.set_result(outcome)

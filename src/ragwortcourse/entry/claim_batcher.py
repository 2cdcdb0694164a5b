"""Claims collected into common transactions."""

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
COLLECTED_LIMIT: Final = 64
WAITING_LIMIT: Final = 2048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingWrite:
    """A write and whoever waits for what becomes of it."""

    write: ConditionalWrite
    outcome: asyncio.Future[CommitOutcome]


class ClaimBatcher:
    """Commits a lone claim at once, and many together at an interval.

    It keeps nothing: what is lost with it is settled by the claimers, who
    write the same claim again and know it by its token.

    :param interval: seconds from the start of one transaction to the next.
    """

    def __init__(
        self,
        *,
        table: TableService,
        interval: float = COMMIT_INTERVAL_SECONDS,
    ) -> None:
        self._table = table
        self._interval = interval
        self._waiting: list[WaitingWrite] = []
        self._writer: asyncio.Task[None] | None = None
        self._last_at = -interval
        self._is_stopped = False

    async def commit(self, write: ConditionalWrite) -> CommitOutcome:
        """Write one claim, with others or by itself."""
        if self._is_stopped:
            return NotCommitted(detail='this daemon is stopping')
        if len(self._waiting) >= WAITING_LIMIT:
            return CommitUnknown(detail='too many claims wait')
        loop = asyncio.get_running_loop()
        waiting = WaitingWrite(write=write, outcome=loop.create_future())
        self._waiting.append(waiting)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())
        return await waiting.outcome

    async def stop(self) -> None:
        """End writing; what still waits is told that nobody knows."""
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

    def _take_batch(self) -> list[WaitingWrite]:
        """Oldest writes, of each key only one."""
        batch: dict[str, WaitingWrite] = {}
        left: list[WaitingWrite] = []
        for waiting in self._waiting:
            key = waiting.write.key
            if key in batch or len(batch) >= COLLECTED_LIMIT:
                left.append(waiting)
            else:
                batch[key] = waiting
        self._waiting = left
        return list(batch.values())

    async def _write(self, batch: list[WaitingWrite]) -> None:
        writes = tuple(waiting.write for waiting in batch)
        try:
            outcome = await self._table.commit(writes)
        except Exception as error:
            # The claimers must not wait for ever on a broken adapter.
            outcome = CommitUnknown(detail=repr(error))
        except asyncio.CancelledError as error:
            _settle(batch, CommitUnknown(detail=repr(error)))
            raise
        if not isinstance(outcome, ConditionFailed):
            _settle(batch, outcome)
            return
        failed = dict(zip(outcome.keys, outcome.rows, strict=True))
        rest: list[WaitingWrite] = []
        for waiting in batch:
            key = waiting.write.key
            if key in failed:
                found = ConditionFailed(rows=(failed[key],), keys=(key,))
                _settle([waiting], found)
            else:
                rest.append(waiting)
        if rest:
            await self._write(rest)


def _settle(batch: list[WaitingWrite], outcome: CommitOutcome) -> None:
    for waiting in batch:
        if not waiting.outcome.done():
            waiting.outcome.set_result(outcome)

"""Results of claimed work, written behind in larger transactions."""

import asyncio
import logging
from typing import Final

from ragwortcourse.platform.table import (
    Committed,
    ConditionalWrite,
    ConditionFailed,
    TableKey,
    TableService,
)

RESULT_DELAY_SECONDS: Final = 0.05
RESULT_BATCH: Final = 64
RESULT_RETRY_SECONDS: Final = 1.0
RESULTS_LIMIT: Final = 1024
LOGGER: Final = logging.getLogger(__name__)


class ClaimResults:
    """Results that wait to be written.

    A result that is lost with its daemon costs a resend its answer, never
    a second run: the claim still names the targets to ask.

    :param table: where the claims are.
    """

    def __init__(self, *, table: TableService) -> None:
        self._table = table
        self._writes: dict[TableKey, ConditionalWrite] = {}
        self._writer: asyncio.Task[None] | None = None
        self._is_failing = False

    def put(self, write: ConditionalWrite) -> None:
        """Write a result soon; the oldest goes first where too many wait."""
        self._writes[write.key] = write
        if len(self._writes) > RESULTS_LIMIT:
            self._writes.pop(next(iter(self._writes)))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())

    def find(self, key: TableKey) -> ConditionalWrite | None:
        """Look up a result that is not written yet."""
        return self._writes.get(key)

    async def flush(self) -> None:
        """Return once everything was written or the table refuses."""
        if self._writes:
            await self._write_batch()

    async def _write_all(self) -> None:
        while self._writes:
            await asyncio.sleep(RESULT_DELAY_SECONDS)
            if not await self._write_batch():
                await asyncio.sleep(RESULT_RETRY_SECONDS)

    async def _write_batch(self) -> bool:
        batch = tuple(self._writes.values())[:RESULT_BATCH]
        outcome = await self._table.commit(batch)
        if isinstance(outcome, Committed):
            self._forget(batch)
        elif isinstance(outcome, ConditionFailed):
            # Superseded claims; the rest is written with the next batch.
            stale = set(outcome.keys)
            self._forget(tuple(one for one in batch if one.key in stale))
        else:
            self._report(is_failing=True)
            return False
        self._report(is_failing=False)
        return True

    def _forget(self, batch: tuple[ConditionalWrite, ...]) -> None:
        for write in batch:
            if self._writes.get(write.key) is write:
                self._writes.pop(write.key)

    def _report(self, *, is_failing: bool) -> None:
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            word = 'fails' if is_failing else 'works again'
            LOGGER.warning('writing results of claims %s', word)

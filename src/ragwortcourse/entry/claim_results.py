"""Write-behind queue of the results of claimed work."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.detached_tasks import end_task
from ragwortcourse.storage.table import (
    CommitOutcome,
    Committed,
    ConditionalWrite,
    ConditionFailed,
    TableKey,
)

RESULT_DELAY_SECONDS: Final = 0.05
RESULT_BATCH: Final = 64
RESULT_RETRY_SECONDS: Final = 1.0
RESULTS_LIMIT: Final = 1024
FLUSH_SECONDS: Final = 3.0
LOGGER: Final = logging.getLogger(__name__)


class ClaimResults:
    """Queue of results that are not yet written to the table.

    If a daemon dies before it writes a result, a resend does not get the
    answer, but the work does not run twice: the claim still names the
    targets to ask.

    :param commit: writes one result, possibly in one transaction with
        claims and results of other daemons.
    """

    def __init__(
        self,
        *,
        commit: Callable[[ConditionalWrite], Awaitable[CommitOutcome]],
    ) -> None:
        self._commit = commit
        self._writes: dict[TableKey, ConditionalWrite] = {}
        self._writer: asyncio.Task[None] | None = None
        self._is_failing = False
        self._is_stopped = False

    def put(self, write: ConditionalWrite) -> None:
        """Queue a result for writing.

        Above ``RESULTS_LIMIT`` the oldest queued result is dropped.
        """
        self._writes[write.key] = write
        if len(self._writes) > RESULTS_LIMIT:
            self._writes.pop(next(iter(self._writes)))
        if self._is_stopped:
            return
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())

    def find(self, key: TableKey) -> ConditionalWrite | None:
        """Return the queued result of a key; none if there is none."""
        return self._writes.get(key)

    async def flush(self) -> None:
        """Write all queued results.

        Returns early if a write fails, and after ``FLUSH_SECONDS`` at most.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_SECONDS):
                is_written = True
                while self._writes and is_written:
                    is_written = await self._write_batch()

    async def stop(self) -> None:
        """Stop writing; queued results are lost."""
        self._is_stopped = True
        await end_task(self._writer)

    async def _write_all(self) -> None:
        while self._writes:
            await asyncio.sleep(RESULT_DELAY_SECONDS)
            if not await self._write_batch():
                await asyncio.sleep(RESULT_RETRY_SECONDS)

    async def _write_batch(self) -> bool:
        batch = tuple(self._writes.values())[:RESULT_BATCH]
        outcomes = await asyncio.gather(*map(self._commit, batch))
        is_failing = False
        for write, outcome in zip(batch, outcomes, strict=True):
            # The condition fails if another daemon took the claim over.
            if isinstance(outcome, Committed | ConditionFailed):
                self._forget(write)
            else:
                is_failing = True
        self._report(is_failing=is_failing)
        return not is_failing

    def _forget(self, write: ConditionalWrite) -> None:
        if self._writes.get(write.key) is write:
            self._writes.pop(write.key)

    def _report(self, *, is_failing: bool) -> None:
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            word = 'fails' if is_failing else 'works again'
            LOGGER.warning('writing results of claims %s', word)

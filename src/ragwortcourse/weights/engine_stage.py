"""Chunks staged at an engine, and the orders to load them.

An engine loads what is staged at the moment at which it accepts an order, and
checks nothing. So nothing else is staged while an order is sent or may still
be accepted, and all chunks are compared right before each order.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import (
    EnginePort,
    EngineReport,
    LoadOrderOutcome,
)
from ragwortcourse.weights.stage_check import StageCheck, compare_staged
from ragwortcourse.weights.unanswered_order import (
    LATE_CALL_SECONDS,
    UnansweredOrder,
    may_be_accepted,
)
from ragwortcourse.weights.unanswered_writes import UnansweredWrites

# Longest time between two reports in which an engine counts as answering.
LONGEST_GAP_SECONDS: Final = 2.0

LOGGER: Final = logging.getLogger(__name__)


class EngineStage:
    """Writer of one engine's staged chunks, and sender of its load orders.

    :ivar open_order: order that the engine may still accept, if any.
    :ivar answered: seconds for which the engine has answered, a clock that
        stands still while it does not.
    :ivar is_inspected: whether an order of a former loader is ruled out or
        known; nothing is staged before.
    """

    def __init__(self, *, engine: EnginePort) -> None:
        self.open_order: UnansweredOrder | None = None
        self.is_inspected = False
        self._engine = engine
        self.answered: float = 0
        self._reported_at: float | None = None
        self._first_report: EngineReport | None = None
        self._born = 0
        self._is_reserved = False
        self._writing = asyncio.Lock()
        self._writes = UnansweredWrites()

    async def stage_chunk(
        self,
        chunks: VersionChunks,
        index: int,
        is_wanted: Callable[[], bool],
    ) -> None:
        """Stage a chunk of a version that is being downloaded.

        The chunk is left out while other chunks have to stay staged; the
        check before the order stages it.
        """
        if not (self.is_free and is_wanted()):
            return
        async with self._writing:
            if self.is_free and is_wanted():
                await self._write(chunks, index)

    @property
    def is_free(self) -> bool:
        """Tell whether chunks of any version may be staged."""
        return (
            self.is_inspected
            and self.open_order is None
            and not self._is_reserved
        )

    @contextlib.contextmanager
    def reserve(self) -> Iterator[None]:
        """Stage no chunks of downloads within the context."""
        self._is_reserved = True
        try:
            yield
        finally:
            self._is_reserved = False

    async def ensure_staged(self, chunks: VersionChunks) -> StageCheck:
        """Stage the chunks that are missing or differ."""
        async with self._writing:
            return await compare_staged(
                self._engine,
                chunks,
                write=self._write,
                note_read=self._writes.note_read,
            )

    def awaits_late_write(self, chunks: VersionChunks) -> bool:
        """Tell whether a chunk of another version may still get staged."""
        return self._writes.has_others(chunks)

    async def order_load(
        self, chunks: VersionChunks, orders: int | None
    ) -> LoadOrderOutcome:
        """Order the engine to load what is staged.

        :param orders: number of accepted orders by the engine's last report.
        """
        former = self.open_order
        # A caller that is cancelled learns nothing of the order either.
        self.open_order = UnansweredOrder(
            chunks=chunks, orders=orders, sent_at=self.answered
        )
        outcome = await self._engine.order_load(
            chunks.manifest.model, chunks.manifest.version, orders
        )
        if outcome is LoadOrderOutcome.UNANSWERED:
            self.note_silent()
        else:
            # The next report settles it, unless the engine has restarted.
            self.open_order = former
        return outcome

    def note_silent(self) -> None:
        """Note that the engine does not answer, so that calls wait in it."""
        self._reported_at = None

    def settle(self, report: EngineReport) -> None:
        """Drop the calls that the engine can't perform any more."""
        self._count_answered()
        first = self._first_report or report
        self._first_report = first
        if (
            report.born != first.born
            # It accepted an order after this loader started.
            or (report.orders or 0) > (first.orders or 0)
            or self.answered > LATE_CALL_SECONDS
        ):
            self.is_inspected = True
        if report.born != self._born:
            self._born = report.born
            self._writes.clear()
        self._writes.drop_old(self.answered)
        order = self.open_order
        if order is not None and not may_be_accepted(
            order, report, seconds=self.answered - order.sent_at
        ):
            self.open_order = None
            LOGGER.info(
                'unanswered order to load a version is settled',
                extra={
                    'model': order.chunks.manifest.model,
                    'version': order.chunks.manifest.version,
                    'stated_orders': order.orders,
                    'orders': report.orders,
                    'answered_seconds': self.answered - order.sent_at,
                },
            )

    def _count_answered(self) -> None:
        """Count the time between two reports that follow each other closely."""
        now = read_clock_with_suspend()
        if self._reported_at is not None:
            seconds = now - self._reported_at
            if seconds <= LONGEST_GAP_SECONDS:
                self.answered += seconds
        self._reported_at = now

    async def _write(self, chunks: VersionChunks, index: int) -> bool:
        # The download of a version may be cancelled meanwhile.
        write = self._writes.add(chunks, index, self.answered)
        is_staged = await self._engine.write_staged(
            chunks.manifest.model, index, chunks.contents[index]
        )
        if is_staged:
            self._writes.note_staged(write)
        else:
            self.note_silent()
        return is_staged

"""Order of one daemon's calls to the origin.

Load pattern: while the origin is away or its link is full, chunks of several
versions come to wait. When the link carries again, the first chunks of the
newest version are what all loaders wait for, and versions that nobody asks
for any more are not worth its time.
"""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

# Negative version, chunk, order of the questions, and the turn.
WaitingTurn = tuple[int, int, int, asyncio.Future[None]]


class OriginTurns:
    """Limit of concurrent calls; the newest version's first chunk is next.

    :param limit: calls at a time.
    """

    def __init__(self, *, limit: int) -> None:
        self._free = limit
        self._order = itertools.count()
        self._waiting: list[WaitingTurn] = []

    @contextlib.asynccontextmanager
    async def take(self, version: int, index: int) -> AsyncIterator[None]:
        """Wait for the turn of a chunk, and hold it within the context."""
        if self._free:
            self._free -= 1
        else:
            await self._wait(version, index)
        try:
            yield
        finally:
            self._pass_on()

    async def _wait(self, version: int, index: int) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (-version, index, next(self._order), turn)
        heapq.heappush(self._waiting, waiting)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        """Give the turn to the first that still waits."""
        while self._waiting:
            turn = heapq.heappop(self._waiting)[-1]
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1

"""Sending chunks to peers: how many at once, and how much of a version."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator
from typing import Final

UPLOADS_AT_ONCE: Final = 4

_Waiting = tuple[int, int, asyncio.Future[None]]


class UploadSlots:
    """Lets a few uploads run at once, the lowest chunk first."""

    def __init__(self, *, limit: int = UPLOADS_AT_ONCE) -> None:
        self._free = limit
        self._ticket = itertools.count()
        self._waiting: list[_Waiting] = []

    @contextlib.asynccontextmanager
    async def hold(self, index: int) -> AsyncIterator[None]:
        """Hold a slot for the time of one upload.

        :param index: chunk that is sent.
        """
        await self._acquire(index)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, index: int) -> None:
        if self._free:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (index, next(self._ticket), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1

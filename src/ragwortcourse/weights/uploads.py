"""Slots that limit concurrent uploads of chunks to peers."""

import asyncio
import heapq
import itertools
from typing import Final

UPLOADS_AT_ONCE: Final = 4

_Waiting = tuple[int, int, asyncio.Future[None]]


class UploadSlots:
    """Slots for concurrent uploads, granted in order of rank.

    :param limit: number of concurrent uploads.
    """

    def __init__(self, *, limit: int = UPLOADS_AT_ONCE) -> None:
        self._free = limit
        self._ticket = itertools.count()
        self._waiting: list[_Waiting] = []

    async def acquire(self, rank: int, deadline: float) -> bool:
        """Acquire a slot; return whether one was free before the deadline.

        :param rank: waiting uploads with the lowest rank go first.
        :param deadline: monotonic seconds.
        """
        if self._free:
            self._free -= 1
            return True
        granted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(self._waiting, (rank, next(self._ticket), granted))
        try:
            async with asyncio.timeout_at(deadline):
                await granted
        except (TimeoutError, asyncio.CancelledError) as error:
            if granted.done() and not granted.cancelled():
                self.release()
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    def release(self) -> None:
        """Release a slot to the next waiting upload."""
        while self._waiting:
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self._free += 1

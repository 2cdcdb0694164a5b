"""The memory that chunks may hold in this process, all transfers together."""

import asyncio
from collections.abc import Callable
from typing import Final

# How often a full memory is looked at again for chunks that need not wait.
RECHECK_SECONDS: Final = 0.25

# Frees some bytes if it can, and tells whether it did.
Evict = Callable[[], bool]


class ChunkMemory:
    """A budget of bytes; reserving waits until there is room."""

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.highest = 0
        self._evictors: list[Evict] = []
        self._freed = asyncio.Event()

    def add_evictor(self, evict: Evict) -> None:
        """Ask this function for bytes whenever memory is full."""
        self._evictors.append(evict)

    def remove_evictor(self, evict: Evict) -> None:
        """Do not ask this function any more."""
        self._evictors.remove(evict)

    async def reserve(self, size: int) -> None:
        """Take bytes from the budget, as soon as there are enough.

        :param size: bytes; one reservation above the whole budget is let
            through alone.
        """
        while self.used and self.used + size > self.limit:
            if not self._evict():
                await self._wait_for_room()
        self.used += size
        self.highest = max(self.highest, self.used)

    def look_again(self) -> None:
        """Wake reservations, as a chunk may have become free to go."""
        self._freed.set()

    def free(self, size: int) -> None:
        """Give bytes back to the budget."""
        self.used -= size
        self._freed.set()

    def _evict(self) -> bool:
        return any(evict() for evict in self._evictors)

    async def _wait_for_room(self) -> None:
        self._freed.clear()
        try:
            async with asyncio.timeout(RECHECK_SECONDS):
                await self._freed.wait()
        except TimeoutError:
            return

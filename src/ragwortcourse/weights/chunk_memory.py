"""Memory budget for the chunks of all transfers of this process."""

import asyncio
from collections.abc import Callable
from typing import Final

# Interval between attempts to evict while memory is full. A chunk whose hold
# time ends becomes evictable without waking the reservations.
RECHECK_SECONDS: Final = 0.25

# Evicts a chunk if possible, and tells whether it did.
Evict = Callable[[], bool]


class ChunkMemory:
    """Budget of bytes in which a reservation waits for free space.

    :ivar limit: bytes of the whole budget.
    :ivar used: bytes reserved now.
    :ivar highest: most bytes reserved at any time.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.highest = 0
        self._evictors: list[Evict] = []
        self._freed = asyncio.Event()

    def add_evictor(self, evict: Evict) -> None:
        """Call this function whenever memory is full."""
        self._evictors.append(evict)

    def remove_evictor(self, evict: Evict) -> None:
        """Stop calling this function."""
        self._evictors.remove(evict)

    async def reserve(self, size: int) -> None:
        """Take bytes from the budget, waiting until enough are free.

        :param size: bytes; a reservation larger than the whole budget is
            admitted when no other one is held.
        """
        while self.used and self.used + size > self.limit:
            if not self._evict():
                await self._wait_for_room()
        self.used += size
        self.highest = max(self.highest, self.used)

    def wake_waiters(self) -> None:
        """Wake waiting reservations, as a chunk may have become evictable."""
        self._freed.set()

    def free(self, size: int) -> None:
        """Return bytes to the budget."""
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

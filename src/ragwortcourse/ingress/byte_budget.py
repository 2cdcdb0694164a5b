"""Budget of bytes that a process holds for clients.

Load pattern: some clients send large bodies or leave answers unread, each
within its own limit; only their sum exceeds the memory of the host.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

# Share of the total that large claims may fill. The rest is for requests of
# the usual size, which are answered beside clients with large ones.
LARGE_SHARE: Final = 0.85


class BudgetSpentError(Exception):
    """The budget has no room for the bytes."""


class ByteBudget:
    """Bytes in use out of a fixed total.

    ``ending`` counts the bytes of connections that are being closed: they are
    still in use, but will be free in the next turns of the event loop.

    :param total: greatest number of bytes in use at the same time.
    """

    def __init__(self, *, total: int) -> None:
        self.total = total
        self.used = 0
        self.ending = 0
        self._freed = asyncio.Event()

    def count_lacking(self, size: int, *, is_small: bool) -> int:
        """Count the bytes that a claim lacks; none or fewer if it fits.

        :param is_small: true for a request of the usual size.
        """
        bound = self.total if is_small else int(self.total * LARGE_SHARE)
        return self.used - self.ending + size - bound

    def claim(self, size: int, *, is_small: bool = False) -> bool:
        """Take bytes if there is room for them."""
        if self.count_lacking(size, is_small=is_small) > 0:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were taken."""
        self.used -= size
        if size:
            self.wake()

    def wake(self) -> None:
        """Let those that wait for room claim it again."""
        self._freed.set()
        self._freed = asyncio.Event()

    async def wait_freed(self) -> None:
        """Wait until some bytes may be free."""
        await self._freed.wait()

    @contextlib.contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Take bytes for the time of the body.

        :raises BudgetSpentError: there is no room for them.
        """
        if not self.claim(size):
            raise BudgetSpentError(f'{size} bytes beyond {self.total}')
        try:
            yield
        finally:
            self.release(size)

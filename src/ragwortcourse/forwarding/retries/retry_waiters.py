"""Requests that wait for retries which other daemons may lend."""

import asyncio
import collections


class RetryWaiters:
    """Waiting requests, the oldest first."""

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, seconds: float) -> bool:
        """Wait until a retry was lent; return false if none came in time."""
        lent = asyncio.get_running_loop().create_future()
        self._waiting.append(lent)
        try:
            async with asyncio.timeout(seconds):
                await lent
        except TimeoutError:
            return False
        finally:
            if lent in self._waiting:
                self._waiting.remove(lent)
        return True

    def wake(self, count: int) -> None:
        """Wake as many requests as may be retried."""
        for _ in range(min(count, len(self._waiting))):
            lent = self._waiting.popleft()
            if not lent.done():
                lent.set_result(None)

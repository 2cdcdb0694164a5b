"""How fast weights may move while live requests share the link."""

import asyncio
from collections.abc import Callable
from typing import Final

from ragwortcourse.clock import read_clock

# Part of the link that weights may take while live requests flow.
SHARE_BESIDE_LIVE: Final = 0.7
# After the last live request the link is held free for so long.
LIVE_MEMORY_SECONDS: Final = 1.0


class Pace:
    """One direction of the host's link, as far as weights may use it.

    :param link_rate: bytes a second; zero: unknown, so nothing is held back.
    :param count_live: live requests on this host now.
    """

    def __init__(
        self, *, link_rate: int, count_live: Callable[[], int]
    ) -> None:
        self._link_rate = link_rate
        self._count_live = count_live
        self._free_at: float = 0
        self._live_at = float('-inf')

    async def wait(self, size: int) -> None:
        """Return when so many bytes of weights may move."""
        now = read_clock()
        if self._count_live():
            self._live_at = now
        if now - self._live_at > LIVE_MEMORY_SECONDS or not self._link_rate:
            return
        start = max(self._free_at, now)
        self._free_at = start + size / (self._link_rate * SHARE_BESIDE_LIVE)
        await asyncio.sleep(start - now)

"""How fast weights may move while live requests share the way."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock

# Part of the link that weights may take while live requests flow.
SHARE_BESIDE_LIVE: Final = 0.8
# After the last live request the link is held free for so long.
LIVE_MEMORY_SECONDS: Final = 1.0
# A live token waits behind one piece of weights for no longer.
PIECE_SECONDS: Final = 0.003
LEAST_PIECE_BYTES: Final = 1024


class LinkPacer:
    """One direction of the host's link, as far as weights may use it.

    :param link_rate: bytes a second; zero: unknown, so nothing is held back.
    :param count_live: live requests on this host now.
    """

    def __init__(
        self, *, link_rate: int, count_live: Callable[[], int]
    ) -> None:
        self.link_rate = link_rate
        self._count_live = count_live
        self._free_at: float = 0
        self._live_at = float('-inf')

    async def wait(self, size: int) -> None:
        """Return when so many bytes of weights may move."""
        now = read_clock()
        if self._count_live():
            self._live_at = now
        if now - self._live_at > LIVE_MEMORY_SECONDS or not self.link_rate:
            return
        start = max(self._free_at, now)
        self._free_at = start + size / (self.link_rate * SHARE_BESIDE_LIVE)
        if start > now:
            await asyncio.sleep(start - now)


def cut_pieces(content: bytes, rate: float) -> Iterator[bytes]:
    """Pieces that each take a way of a rate for a short time only.

    :param rate: bytes a second; zero: unknown, so all is one piece.
    """
    size = max(round(rate * PIECE_SECONDS), LEAST_PIECE_BYTES)
    if not rate:
        size = max(len(content), 1)
    for start in range(0, len(content), size):
        yield content[start : start + size]

"""Rate limit for weights on a link that live requests share."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock

# Share of the link that weights may take while live requests run.
LINK_SHARE_DURING_LIVE: Final = 0.8
# Time after the last live request for which the rate limit stays in force.
LIVE_HOLD_SECONDS: Final = 1.0
# Longest time that a live token waits behind one piece of weights.
PIECE_SECONDS: Final = 0.003
MIN_PIECE_BYTES: Final = 1024


class LinkPacer:
    """Rate limit for weights in one direction of the host's link.

    :param link_rate: bytes a second; zero: unknown, so there is no limit.
    :param count_live: counts the live requests on this host now.
    """

    def __init__(
        self, *, link_rate: int, count_live: Callable[[], int]
    ) -> None:
        self.link_rate = link_rate
        self._count_live = count_live
        self._free_at: float = 0
        self._last_live_at = float('-inf')

    async def wait(self, size: int) -> None:
        """Wait until weights may use the link.

        :param size: bytes that move next.
        """
        now = read_clock()
        if self._count_live():
            self._last_live_at = now
        if now - self._last_live_at > LIVE_HOLD_SECONDS or not self.link_rate:
            return
        start = max(self._free_at, now)
        self._free_at = start + size / (self.link_rate * LINK_SHARE_DURING_LIVE)
        if start > now:
            await asyncio.sleep(start - now)


def cut_pieces(content: bytes, rate: float) -> Iterator[bytes]:
    """Yield pieces that each occupy a link for a short time only.

    :param rate: bytes a second of the link; zero: unknown, so the content is
        one piece.
    """
    size = max(round(rate * PIECE_SECONDS), MIN_PIECE_BYTES)
    if not rate:
        size = max(len(content), 1)
    for start in range(0, len(content), size):
        yield content[start : start + size]

"""How many chunks one host draws at once over links that many share."""

import asyncio
import dataclasses
from typing import Final

# Chunks that the hosts of one failure domain draw from the origin at once while
# others wait for them; at least one each.
ORIGIN_DRAWS_AT_ONCE: Final = 2
# Chunks that one host draws from other regions at once: over a narrow line
# many at once would each outlast the wait for a source, and be drawn again.
LINE_DRAWS_AT_ONCE: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DownloadSlots:
    """Slots of draws under way.

    :param line: for draws from other regions.
    """

    origin: asyncio.Semaphore
    line: asyncio.Semaphore


def open_draw_slots(*, near: int) -> DownloadSlots:
    """Slots of one transfer.

    :param near: hosts of the own failure domain that take part.
    """
    return DownloadSlots(
        origin=asyncio.Semaphore(max(ORIGIN_DRAWS_AT_ONCE // near, 1)),
        line=asyncio.Semaphore(LINE_DRAWS_AT_ONCE),
    )

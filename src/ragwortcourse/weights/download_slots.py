"""Limits on concurrent chunk downloads over shared links."""

import asyncio
import dataclasses
from typing import Final

# Chunks that the hosts of one failure domain together download from the origin
# at the same time while other hosts wait for them; at least one per host.
ORIGIN_DOWNLOADS_PER_DOMAIN: Final = 2
# Chunks that one host requests from other regions at the same time. Over a
# narrow link, each of many concurrent downloads would exceed the time-out for
# a source and start again. A request also holds its slot while the source
# waits for the chunk, so there are slots left for chunks that can be sent if a
# host before the source has died.
CROSS_REGION_DOWNLOADS_PER_HOST: Final = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DownloadSlots:
    """Semaphores that limit the concurrent downloads of one transfer.

    :param origin: for downloads from the origin.
    :param cross_region: for downloads from other regions.
    """

    origin: asyncio.Semaphore
    cross_region: asyncio.Semaphore


def open_download_slots(*, near: int) -> DownloadSlots:
    """Create the slots of one transfer.

    :param near: hosts of this host's failure domain in the transfer, this
        host included.
    """
    return DownloadSlots(
        origin=asyncio.Semaphore(max(ORIGIN_DOWNLOADS_PER_DOMAIN // near, 1)),
        cross_region=asyncio.Semaphore(CROSS_REGION_DOWNLOADS_PER_HOST),
    )

"""Download of chunks before they are requested.

Load pattern: loaders download a version in the order of its chunks, over
links that are slower than those between entry daemons. A chunk that is there
when the first loader asks for it costs nobody time. Versions that no loader
downloads must not take time of the origin's link.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.planning.loader_demand import IsWanted

FindChunk = Callable[[VersionChunks, int], Awaitable[bytes | None]]
ReadStart = Callable[[FleetManifest, int], float]
IsKept = Callable[[VersionChunks], bool]

# Chunks of one version that one cache prefetches concurrently.
CONCURRENT_PREFETCHES: Final = 2
# Counted from the first prefetch of the version. Afterwards a chunk is
# downloaded only on request.
PREFETCH_WINDOW_SECONDS: Final = 20.0
# Longest wait for a version to be wanted. Afterwards the same holds.
WANTED_SECONDS: Final = 60.0
# Pause after a chunk that no source returned.
RETRY_SECONDS: Final = 0.4
# Between two questions whether a version is wanted, which read local state.
WANTED_POLL_SECONDS: Final = 0.05


def start_at_once(manifest: FleetManifest, index: int) -> float:
    """Start every prefetch as soon as the manifest has arrived."""
    return 0


class Prefetch:
    """Prefetch of chunks of the versions that one cache keeps.

    :param find_chunk: returns a chunk, after downloading it.
    :param is_kept: tells whether the cache still keeps a version.
    :param read_start: seconds from the start to the prefetch of a chunk.
    :param is_wanted: tells whether to go on prefetching a version.
    """

    def __init__(
        self,
        *,
        find_chunk: FindChunk,
        is_kept: IsKept,
        read_start: ReadStart,
        is_wanted: IsWanted,
    ) -> None:
        self._find_chunk = find_chunk
        self._is_kept = is_kept
        self._read_start = read_start
        self._is_wanted = is_wanted

    async def run(
        self, chunks: VersionChunks, indices: Sequence[int], first: int
    ) -> None:
        """Download chunks ahead.

        :param first: chunk that is due now; the others are due after it, in
            order, and then those before it.
        """
        if not await self._becomes_wanted(chunks):
            return
        began_at = read_clock()
        manifest = chunks.manifest
        count = len(manifest.digests)
        start_seconds = {
            index: self._read_start(manifest, (index - first) % count)
            for index in indices
        }
        queue = list(indices)
        # One task polls for all, whatever the number of chunks.
        polling = asyncio.Lock()
        is_wanted = True

        async def prefetch_next() -> None:
            nonlocal is_wanted  # noqa: WPS420
            while queue and self._is_due(chunks, began_at):
                index = queue.pop(0)
                await asyncio.sleep(
                    began_at + start_seconds[index] - read_clock()
                )
                async with polling:
                    is_wanted = is_wanted and await self._becomes_wanted(chunks)
                if not is_wanted:
                    return
                if await self._find_chunk(chunks, index) is None:
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        # Start times that are set per chunk limit the rate by themselves.
        concurrency = (
            len(indices)
            if any(start_seconds.values())
            else CONCURRENT_PREFETCHES
        )
        await asyncio.gather(*(prefetch_next() for _ in range(concurrency)))

    def _is_due(self, chunks: VersionChunks, began_at: float) -> bool:
        is_recent = read_clock() - began_at < PREFETCH_WINDOW_SECONDS
        return is_recent and self._is_kept(chunks)

    async def _becomes_wanted(self, chunks: VersionChunks) -> bool:
        """Wait while another version is wanted.

        :return: false if this one is evicted or not wanted for long.
        """
        manifest = chunks.manifest
        until = read_clock() + WANTED_SECONDS
        while self._is_kept(chunks) and read_clock() < until:
            if self._is_wanted(manifest.model, manifest.version):
                return True
            await asyncio.sleep(WANTED_POLL_SECONDS)
        return False

"""Chunks that an entry daemon passes on."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.detached_tasks import DetachedTasks
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_store import (
    VERSIONS_KEPT,
    ChunkStore,
    VersionChunks,
)
from ragwortcourse.weights.fleet_manifest import FleetManifest

ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]
DrawChunk = Callable[[FleetManifest, int], Awaitable[bytes | None]]
ListNamed = Callable[[], Sequence[tuple[ModelName, int]]]
ListOwn = Callable[[FleetManifest], Awaitable[tuple[int, ...]]]
ReadStart = Callable[[FleetManifest, int], float]

# Chunks drawn at once before anybody asks for them.
PREFETCHES_AT_ONCE: Final = 2
# From the manifest on; later a chunk is drawn only for those who ask.
PREFETCH_WINDOW_SECONDS: Final = 20.0
# A look costs nothing; the store tells of new versions at once.
LOOK_SECONDS: Final = 0.1
# After a manifest or a chunk that could not be had.
RETRY_SECONDS: Final = 0.4

LOGGER: Final = logging.getLogger(__name__)


def start_at_once(manifest: FleetManifest, index: int) -> float:
    """Draw every chunk as soon as the manifest is here."""
    return 0


class ChunkCache:
    """Draws each chunk that is asked for once, and keeps it.

    The first question for a version begins to draw every chunk that others
    are to ask this daemon for.

    :param draw: bytes of a chunk from elsewhere, unchecked.
    :param list_own: chunks of a version that others ask here first.
    :param read_start: seconds after the manifest at which a chunk is drawn
        ahead.
    """

    def __init__(
        self,
        *,
        read_manifest: ReadManifest,
        draw: DrawChunk,
        list_own: ListOwn,
        read_start: ReadStart = start_at_once,
    ) -> None:
        self._list_own = list_own
        self._read_start = read_start
        self._ahead = DetachedTasks(limit=VERSIONS_KEPT)
        self._read_manifest = read_manifest
        self._draw = draw
        self._store = ChunkStore()
        self._failed = 0
        self._manifests: dict[int, asyncio.Task[VersionChunks | None]] = {}
        self._draws: dict[tuple[int, int], asyncio.Task[bytes | None]] = {}

    async def find(
        self, model: ModelName, version: int, index: int
    ) -> bytes | None:
        """A chunk, drawn first if it is not here."""
        chunks = self._store.find(version)
        if chunks is None:
            chunks = await self._open(model, version)
        if chunks is None or index >= len(chunks.manifest.digests):
            return None
        return await self._find_in(chunks, index)

    async def find_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Digests of a version, read first if they are not here."""
        chunks = self._store.find(version)
        if chunks is None:
            chunks = await self._open(model, version)
        return None if chunks is None else chunks.manifest

    async def prefetch_named(self, list_named: ListNamed) -> None:
        """Draw what is named before anybody asks for it, for ever.

        :param list_named: the newest version of each model.
        """
        while True:
            for model, version in list_named():
                if await self.find_manifest(model, version) is None:
                    # Many daemons ask the same few, or the origin.
                    await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(LOOK_SECONDS)

    async def stop(self) -> None:
        """End what is drawn ahead."""
        await self._ahead.cancel()

    async def _find_in(self, chunks: VersionChunks, index: int) -> bytes | None:
        content = chunks.contents.get(index)
        if content is not None:
            return content
        key = (chunks.manifest.version, index)
        if key not in self._draws:
            self._draws[key] = asyncio.create_task(
                self._draw_checked(chunks, index)
            )
            self._draws[key].add_done_callback(
                lambda _task: self._draws.pop(key, None)
            )
        # Others wait for the same draw.
        return await asyncio.shield(self._draws[key])

    async def _open(
        self, model: ModelName, version: int
    ) -> VersionChunks | None:
        if version not in self._manifests:
            self._manifests[version] = asyncio.create_task(
                self._open_once(model, version)
            )
            self._manifests[version].add_done_callback(
                lambda _task: self._manifests.pop(version, None)
            )
        return await asyncio.shield(self._manifests[version])

    async def _open_once(
        self, model: ModelName, version: int
    ) -> VersionChunks | None:
        manifest = await self._read_manifest(model, version)
        if manifest is None:
            return None
        chunks = self._store.open(manifest)
        self._ahead.spawn(self._draw_ahead(chunks))
        return chunks

    async def _draw_ahead(self, chunks: VersionChunks) -> None:
        opened_at = read_clock()
        own = await self._list_own(chunks.manifest)
        starts = {
            index: self._read_start(chunks.manifest, index) for index in own
        }
        queue = list(own)

        async def draw_some() -> None:
            while queue and read_clock() - opened_at < PREFETCH_WINDOW_SECONDS:
                index = queue.pop(0)
                await asyncio.sleep(opened_at + starts[index] - read_clock())
                if await self._find_in(chunks, index) is None:
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        # Where each chunk has its own start, that alone limits the draws.
        at_once = len(own) if any(starts.values()) else PREFETCHES_AT_ONCE
        await asyncio.gather(*(draw_some() for _ in range(at_once)))

    async def _draw_checked(
        self, chunks: VersionChunks, index: int
    ) -> bytes | None:
        content = await self._draw(chunks.manifest, index)
        if chunks.take(index, content):
            return content
        self._note_failure(chunks.manifest.version)
        return None

    def _note_failure(self, version: int) -> None:
        """Leave one line for each version, however often it is asked for."""
        if self._failed != version:
            LOGGER.warning(
                'chunks can not be drawn; asking again',
                extra={'version': version},
            )
        self._failed = version

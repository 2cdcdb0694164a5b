"""Cache of the chunks that an entry daemon serves to other daemons."""

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.detached_tasks import end_task
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_store import ChunkStore, VersionChunks
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.model_tasks import ModelTasks
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.planning.known_manifests import (
    KnownManifests,
    ReadManifest,
)
from ragwortcourse.weights.planning.loader_demand import IsWanted, want_always
from ragwortcourse.weights.planning.prefetch import (
    Prefetch,
    ReadStart,
    start_at_once,
)

DownloadChunk = Callable[[FleetManifest, int], Awaitable[bytes | None]]
ListDeployed = Callable[[], Sequence[tuple[ModelName, int]]]
ListOwn = Callable[[FleetManifest], Awaitable[tuple[int, ...]]]
ListReplaced = Callable[
    [FleetManifest, int, tuple[str, ...]], Awaitable[tuple[int, ...]]
]
# A version and the addresses of the relays that are gone.
Replacement = tuple[ModelVersion, frozenset[str]]

# The version in force, which added engines download, and two named since.
VERSIONS_SERVED: Final = 3
# Polling reads local state only, and the store reports new versions at once.
POLL_SECONDS: Final = 0.1
# Pause after a manifest that no source returned.
RETRY_SECONDS: Final = 0.4
# Prefetches of chunks of other relays that one cache runs concurrently for a
# model.
REPLACEMENTS: Final = 8
# Versions of a model whose chunks one cache prefetches; those that are no
# longer kept end soon.
PREFETCHES: Final = 2 * VERSIONS_SERVED

LOGGER: Final = logging.getLogger(__name__)


async def replace_nobody(
    manifest: FleetManifest, index: int, gone: tuple[str, ...]
) -> tuple[int, ...]:
    """Send no chunks instead of other relays."""
    return ()


class ChunkCache:
    """Cache that downloads each requested chunk once.

    The first request for a version starts the prefetch of every chunk for
    which other daemons ask this daemon first, from the requested chunk on.

    :ivar manifests: manifests that were read.

    :param download_chunk: downloads the bytes of a chunk, unverified.
    :param list_own: indices of the chunks of a version for which other
        daemons ask this daemon first.
    :param list_replaced: indices of the chunks after one for which others ask
        here while some addresses are gone.
    :param read_start: seconds from the arrival of the manifest to the
        prefetch of a chunk.
    :param is_wanted: tells whether to go on prefetching a version.
    """

    def __init__(
        self,
        *,
        read_manifest: ReadManifest,
        download_chunk: DownloadChunk,
        list_own: ListOwn,
        list_replaced: ListReplaced = replace_nobody,
        read_start: ReadStart = start_at_once,
        is_wanted: IsWanted = want_always,
    ) -> None:
        self._list_own = list_own
        self._list_replaced = list_replaced
        self._prefetch = Prefetch(
            find_chunk=self._find_in,
            is_kept=self._is_kept,
            read_start=read_start,
            is_wanted=is_wanted,
        )
        self._openings = ModelTasks(limit=1)
        self._prefetches = ModelTasks(limit=PREFETCHES)
        self._replacements = ModelTasks(limit=REPLACEMENTS)
        self._replaced: set[Replacement] = set()
        self.manifests = KnownManifests(read_manifest=read_manifest)
        self._download_chunk = download_chunk
        self._store = ChunkStore(kept=VERSIONS_SERVED)
        self._failed: set[ModelVersion] = set()
        self._manifests: dict[
            ModelVersion, asyncio.Task[VersionChunks | None]
        ] = {}
        self._downloads: dict[
            tuple[ModelVersion, int], asyncio.Task[bytes | None]
        ] = {}

    async def find(
        self, model: ModelName, version: int, index: int
    ) -> bytes | None:
        """Return a chunk, after downloading it if it is not cached."""
        wanted = ModelVersion(model, version)
        chunks = self._store.find(wanted)
        if chunks is None:
            chunks = await self._open(wanted, index)
        if chunks is None or index >= len(chunks.manifest.digests):
            return None
        return await self._find_in(chunks, index)

    async def find_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a version's manifest, after reading it if not cached."""
        wanted = ModelVersion(model, version)
        chunks = self._store.find(wanted)
        if chunks is None:
            chunks = await self._open(wanted)
        return None if chunks is None else chunks.manifest

    async def prefetch_deployed(self, list_named: ListDeployed) -> None:
        """Prefetch the versions of the desired state until cancelled.

        :param list_named: lists the newest version of each model.
        """
        while True:
            for deployed in itertools.starmap(ModelVersion, list_named()):
                if self._store.find(deployed) is None:
                    # A manifest that takes long delays no other model.
                    self._openings.spawn(
                        deployed.model, _open_deployed(self, deployed)
                    )
            await asyncio.sleep(POLL_SECONDS)

    def note_gone(
        self,
        model: ModelName,
        version: int,
        index: int,
        gone: tuple[str, ...],
    ) -> None:
        """Prefetch what others ask for here after a chunk of a stopped relay.

        :param index: the chunk that is asked for here.
        :param gone: addresses that do not accept connections.
        """
        key = (ModelVersion(model, version), frozenset(gone))
        if key in self._replaced:
            return
        self._replaced = {
            known for known in self._replaced if self._store.find(known[0])
        }
        self._replaced.add(key)
        self._replacements.spawn(
            model, self._replace(model, version, index, gone)
        )

    async def stop(self) -> None:
        """Cancel the downloads and prefetches."""
        # Each of these starts some of the next.
        await self._openings.cancel()
        await self._replacements.cancel()
        await asyncio.gather(*map(end_task, self._manifests.values()))
        await self._prefetches.cancel()
        await asyncio.gather(*map(end_task, self._downloads.values()))

    async def _find_in(self, chunks: VersionChunks, index: int) -> bytes | None:
        content = chunks.contents.get(index)
        if content is not None:
            return content
        key = (chunks.manifest.model_version, index)
        if key not in self._downloads:
            self._downloads[key] = asyncio.create_task(
                self._download_verified(chunks, index)
            )
            self._downloads[key].add_done_callback(
                lambda _task: self._downloads.pop(key, None)
            )
        # Other callers wait for the same download.
        return await asyncio.shield(self._downloads[key])

    async def _open(
        self, wanted: ModelVersion, first: int = 0
    ) -> VersionChunks | None:
        if wanted not in self._manifests:
            self._manifests[wanted] = asyncio.create_task(
                self._open_once(wanted, first)
            )
            self._manifests[wanted].add_done_callback(
                lambda _task: self._manifests.pop(wanted, None)
            )
        return await asyncio.shield(self._manifests[wanted])

    async def _open_once(
        self, wanted: ModelVersion, first: int
    ) -> VersionChunks | None:
        manifest = await self.manifests.read(wanted.model, wanted.version)
        if manifest is None:
            return None
        chunks = self._store.open(manifest)
        self._prefetches.spawn(wanted.model, self._prefetch_own(chunks, first))
        return chunks

    async def _prefetch_own(self, chunks: VersionChunks, first: int) -> None:
        own = await self._list_own(chunks.manifest)
        # A restarted relay is asked for the later chunks only.
        in_order = sorted(own, key=lambda index: index < first)
        await self._prefetch.run(chunks, in_order, first)

    async def _replace(
        self,
        model: ModelName,
        version: int,
        index: int,
        gone: tuple[str, ...],
    ) -> None:
        manifest = await self.find_manifest(model, version)
        chunks = self._store.find(ModelVersion(model, version))
        if manifest is None or chunks is None:
            return
        await self._prefetch.run(
            chunks, await self._list_replaced(manifest, index, gone), index
        )

    def _is_kept(self, chunks: VersionChunks) -> bool:
        return self._store.find(chunks.manifest.model_version) is chunks

    async def _download_verified(
        self, chunks: VersionChunks, index: int
    ) -> bytes | None:
        content = await self._download_chunk(chunks.manifest, index)
        if chunks.take(index, content):
            return content
        self._note_failure(chunks.manifest.model_version)
        return None

    def _note_failure(self, failed: ModelVersion) -> None:
        """Log the first failure of a version only."""
        if failed in self._failed:
            return
        self._failed = {
            known for known in self._failed if self._store.find(known)
        }
        self._failed.add(failed)
        LOGGER.warning(
            'no source returned a valid chunk; download will be retried',
            extra={'model': failed.model, 'version': failed.version},
        )


async def _open_deployed(cache: ChunkCache, deployed: ModelVersion) -> None:
    """Read a manifest; pause if no source has it."""
    if await cache.find_manifest(*deployed) is None:
        # Many daemons ask the same few daemons or the origin.
        await asyncio.sleep(RETRY_SECONDS)

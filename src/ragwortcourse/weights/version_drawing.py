"""Download named versions of weights into a loader's memory."""

import asyncio
import logging
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.planning.chunk_queue import ChunkQueue
from ragwortcourse.weights.planning.loader_plan import choose_next_version
from ragwortcourse.weights.stage_check import adopt_staged

WATCH_SECONDS: Final = 0.2
RETRY_SECONDS: Final = 0.2
# Two concurrent downloads keep the link busy while one waits for its source.
CONCURRENT_DOWNLOADS: Final = 2
# Time without a new chunk after which a version counts as unavailable. It is
# long enough to try other sources; slow links get STALL_CHUNKS chunk times.
STALL_SECONDS: Final = 1.5
STALL_CHUNKS: Final = 3
# Pause between the requests for the newest version while an older one is
# downloaded because no source offered the newest.
PROBE_SECONDS: Final = 0.5

LOGGER: Final = logging.getLogger(__name__)


async def download_versions(loader_weights: LoaderWeights) -> None:
    """Download wanted versions one after the other, forever."""
    refused: ModelVersion | None = None
    while True:
        rules = loader_weights.find_rules()
        wanted = (
            0
            if rules is None
            else find_version_to_download(loader_weights, rules)
        )
        if (
            rules
            and wanted
            and not await _download_named(loader_weights, rules, wanted)
        ):
            if refused != (rules.model, wanted):
                LOGGER.warning(
                    'no valid manifest from the origin; retrying',
                    extra={'model': rules.model, 'version': wanted},
                )
            refused = ModelVersion(rules.model, wanted)
        await asyncio.sleep(WATCH_SECONDS)


def find_version_to_download(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> int:
    """Return the version to download.

    :return: zero if the version or a newer one is complete here, or the
        engine does not answer.
    """
    wanted = choose_next_version(loader_weights, rules)
    here = max(
        loader_weights.store.find_newest_whole(rules.model),
        loader_weights.read_held(rules),
    )
    return 0 if loader_weights.report is None or wanted <= here else wanted


async def _download_named(
    loader_weights: LoaderWeights, rules: EngineProfile, version: int
) -> bool:
    """Download a version; return whether its manifest was available."""
    manifest = await loader_weights.ports.read_manifest(rules.model, version)
    if manifest is None or len(manifest.digests) != rules.chunks:
        loader_weights.note_stalled(ModelVersion(rules.model, version))
        return False
    await _download_version(
        loader_weights, rules, loader_weights.store.open(manifest)
    )
    return True


async def _download_version(
    loader_weights: LoaderWeights, rules: EngineProfile, chunks: VersionChunks
) -> None:
    began_at = read_clock()
    LOGGER.info(
        'version download begins',
        extra={
            'model': chunks.manifest.model,
            'version': chunks.manifest.version,
            'newest': loader_weights.list_named(rules)[-1].version,
            'missing': len(chunks.missing),
        },
    )
    staged = await adopt_staged(loader_weights.ports.engine, chunks)
    await _download_missing(loader_weights, rules, chunks)
    LOGGER.info(
        'version download abandoned'
        if chunks.missing
        else 'version downloaded',
        extra={
            'model': chunks.manifest.model,
            'version': chunks.manifest.version,
            'staged_before': staged,
            'missing': len(chunks.missing),
            'seconds': read_clock() - began_at,
        },
    )


async def _download_missing(
    loader_weights: LoaderWeights, rules: EngineProfile, chunks: VersionChunks
) -> None:
    """Download missing chunks until done or another version is wanted."""
    manifest = chunks.manifest
    queue = ChunkQueue(chunks.missing)
    received_at = read_clock()
    chunk_seconds = (
        rules.chunk_bytes * CONCURRENT_DOWNLOADS / loader_weights.link_rate
    )
    stall_limit = max(STALL_SECONDS, chunk_seconds * STALL_CHUNKS)

    async def download_some() -> None:
        nonlocal received_at
        while queue:
            index = queue.take()
            if await _download_one(loader_weights, rules, chunks, index):
                received_at = read_clock()
                loader_weights.note_offered(manifest.model_version)
            else:
                queue.put_back(index)
                await asyncio.sleep(RETRY_SECONDS)

    downloading = asyncio.gather(
        *(download_some() for _ in range(CONCURRENT_DOWNLOADS))
    )
    probing = asyncio.ensure_future(
        _probe_newest(loader_weights, rules, manifest.version)
    )
    try:
        while (
            choose_next_version(loader_weights, rules) == manifest.version
            and not downloading.done()
        ):
            await asyncio.wait((downloading,), timeout=WATCH_SECONDS)
            if read_clock() - received_at > stall_limit:
                loader_weights.note_stalled(manifest.model_version)
    finally:
        for running in (downloading, probing):
            running.cancel()
        await asyncio.gather(downloading, probing, return_exceptions=True)


async def _probe_newest(
    loader_weights: LoaderWeights, rules: EngineProfile, version: int
) -> None:
    """Request the newest version, if it counts as unavailable, forever.

    :param version: version that is downloaded meanwhile.
    """
    while True:
        await asyncio.sleep(PROBE_SECONDS)
        newest = ModelVersion(
            rules.model, loader_weights.list_named(rules)[-1].version
        )
        if (
            newest.version != version
            and loader_weights.is_stalled(newest)
            and await _is_offered(loader_weights, rules, newest)
        ):
            loader_weights.note_offered(newest)


async def _is_offered(
    loader_weights: LoaderWeights, rules: EngineProfile, version: ModelVersion
) -> bool:
    """Tell whether a source offers what is missing of a version.

    A chunk that arrives is kept.
    """
    ports = loader_weights.ports
    kept = loader_weights.store.find(version)
    if kept is None:
        manifest = await ports.read_manifest(*version)
        return manifest is not None and len(manifest.digests) == rules.chunks
    index = kept.missing[0]
    rate = loader_weights.link_rate // CONCURRENT_DOWNLOADS
    content = await ports.download_chunk(kept.manifest, index, rate)
    return kept.take(index, content)


async def _download_one(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    chunks: VersionChunks,
    index: int,
) -> bool:
    ports, manifest = loader_weights.ports, chunks.manifest
    rate = loader_weights.link_rate // CONCURRENT_DOWNLOADS
    content = await ports.download_chunk(manifest, index, rate)
    if content is None or not chunks.take(index, content):
        return False
    await loader_weights.stage.stage_chunk(
        chunks,
        index,
        # No other complete version needs the stage for its load order.
        lambda: loader_weights.find_downloaded(rules) is None,
    )
    return True

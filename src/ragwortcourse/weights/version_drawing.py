"""Draws named versions of weights into a loader's memory."""

import asyncio
import functools
import logging
from typing import Final

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_check import adopt_staged
from ragwortcourse.weights.version_choice import choose_version

WATCH_SECONDS: Final = 0.2
RETRY_SECONDS: Final = 0.2
# Chunks drawn at once: while one is waited for, the other fills the link.
DRAWN_AT_ONCE: Final = 2
# Without a chunk for this long a version can't be had now: other sources
# have been asked too, and chunks over a slow link take their time.
STALL_SECONDS: Final = 1.5
STALL_CHUNKS: Final = 3

LOGGER: Final = logging.getLogger(__name__)


async def download_versions(loading: LoaderWeights) -> None:
    """Draw what the engine is to hold, one version after the other."""
    refused = 0
    while True:
        rules = loading.find_rules()
        wanted = (
            0 if rules is None else find_version_to_download(loading, rules)
        )
        if rules and wanted and not await _draw_named(loading, rules, wanted):
            if refused != wanted:
                LOGGER.warning(
                    'origin gives no manifest; asking again',
                    extra={'version': wanted},
                )
            refused = wanted
        await asyncio.sleep(WATCH_SECONDS)


def find_version_to_download(
    loading: LoaderWeights, rules: EngineProfile
) -> int:
    """Version to be drawn; zero where it is here or the engine is down."""
    wanted = choose_next_version(loading, rules)
    here = {loading.store.find_newest_whole(), loading.read_held(rules)}
    return 0 if loading.report is None or wanted in here else wanted


def choose_next_version(loading: LoaderWeights, rules: EngineProfile) -> int:
    """Version that the engine is to hold next."""
    return choose_version(
        loading.list_named(rules),
        held=max(loading.read_held(rules), loading.store.find_newest_whole()),
        now=read_clock_with_suspend(),
        foresee=functools.partial(loading.estimate_download_seconds, rules),
        bound=loading.fleet.version_ms / 1000,
    ).version


async def _draw_named(
    loading: LoaderWeights, rules: EngineProfile, version: int
) -> bool:
    """Draw a version; false where the origin does not tell its digests."""
    manifest = await loading.ports.read_manifest(rules.model, version)
    if manifest is None or len(manifest.digests) != rules.chunks:
        loading.note_stalled(version)
        return False
    await _draw_version(loading, rules, loading.store.open(manifest))
    return True


async def _draw_version(
    loading: LoaderWeights, rules: EngineProfile, chunks: VersionChunks
) -> None:
    began_at = read_clock()
    staged = await adopt_staged(loading.ports.engine, chunks)
    await _draw_missing(loading, rules, chunks)
    LOGGER.info(
        'version given up' if chunks.missing else 'version drawn',
        extra={
            'version': chunks.manifest.version,
            'staged_before': staged,
            'missing': len(chunks.missing),
            'seconds': read_clock() - began_at,
        },
    )


async def _draw_missing(
    loading: LoaderWeights, rules: EngineProfile, chunks: VersionChunks
) -> None:
    """Draw missing chunks until another version is wanted."""
    version = chunks.manifest.version
    queue = list(chunks.missing)
    drawn_at = read_clock()
    chunk_seconds = rules.chunk_bytes * DRAWN_AT_ONCE / loading.link_rate
    patience = max(STALL_SECONDS, chunk_seconds * STALL_CHUNKS)

    async def draw_some() -> None:
        nonlocal drawn_at
        while queue:
            index = queue.pop(0)
            if await _draw_one(loading, rules, chunks, index):
                drawn_at = read_clock()
            else:
                queue.append(index)
                await asyncio.sleep(RETRY_SECONDS)

    drawing = asyncio.gather(*(draw_some() for _ in range(DRAWN_AT_ONCE)))
    try:
        while (
            choose_next_version(loading, rules) == version
            and not drawing.done()
        ):
            await asyncio.wait((drawing,), timeout=WATCH_SECONDS)
            if read_clock() - drawn_at > patience:
                loading.note_stalled(version)
    finally:
        drawing.cancel()
        await asyncio.gather(drawing, return_exceptions=True)


async def _draw_one(
    loading: LoaderWeights,
    rules: EngineProfile,
    chunks: VersionChunks,
    index: int,
) -> bool:
    ports, manifest = loading.ports, chunks.manifest
    rate = loading.link_rate // DRAWN_AT_ONCE
    content = await ports.draw(manifest, index, rate)
    if content is None or not chunks.take(index, content):
        return False
    if loading.find_downloaded(rules) is None:
        # Nothing else is to be loaded from the stage first.
        await ports.engine.write_staged(manifest.model, index, content)
    return True

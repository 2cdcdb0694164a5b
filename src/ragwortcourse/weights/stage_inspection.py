"""Orders of a former loader that the engine may still accept.

A loader that starts knows nothing of the orders that its predecessor sent. An
order that the engine may still accept is for a version that is staged
completely, as a loader stages nothing else meanwhile.
"""

import asyncio
import collections
import logging
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_check import adopt_staged
from ragwortcourse.weights.unanswered_order import (
    LATE_CALL_SECONDS,
    UnansweredOrder,
)

# Pause before chunks that match no manifest are compared again.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


async def inspect_stage(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> None:
    """Find the order that a former loader may have left unanswered.

    Stays without result while a complete stage is of no known version, until
    the calls of the former loader count as never performed.
    """
    stage = loader_weights.stage
    if stage.is_inspected:
        return
    age = read_clock_with_suspend() - stage.started_at
    if age > LATE_CALL_SECONDS:
        stage.is_inspected = True
        return
    staged = await loader_weights.ports.engine.list_staged(rules.model)
    if len(staged) < rules.chunks:
        stage.is_inspected = True
        return
    versions = await _identify(loader_weights, rules)
    found = collections.Counter(
        {version: len(chunks.contents) for version, chunks in versions.items()}
    )
    stage.is_inspected = found.total() >= rules.chunks
    version, count = found.most_common(1)[0] if found else (0, 0)
    held = loader_weights.read_held(rules)
    if count == rules.chunks and version > held and loader_weights.report:
        stage.open_order = UnansweredOrder(
            chunks=versions[version],
            orders=loader_weights.report.orders,
            sent_at=read_clock_with_suspend(),
        )
    LOGGER.info(
        'staged chunks of a former loader inspected',
        extra={
            'held': held,
            'chunks_by_version': dict(found),
            'is_complete': stage.is_inspected,
        },
    )
    if not stage.is_inspected:
        await asyncio.sleep(RETRY_SECONDS)


async def _identify(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> dict[int, VersionChunks]:
    """Return the staged chunks by version, newest first."""
    held = loader_weights.read_held(rules)
    named = {each.version for each in loader_weights.list_named(rules)}
    candidates = sorted({held, *named} - {0}, reverse=True)
    versions: dict[int, VersionChunks] = {}
    for version in candidates:
        manifest = await loader_weights.ports.read_manifest(
            rules.model, version
        )
        if manifest is not None and len(manifest.digests) == rules.chunks:
            chunks = VersionChunks(manifest=manifest)
            if await adopt_staged(loader_weights.ports.engine, chunks):
                versions[version] = chunks
        if version <= held or _is_found(versions, rules):
            break
    return versions


def _is_found(versions: dict[int, VersionChunks], rules: EngineProfile) -> bool:
    return (
        sum(len(chunks.contents) for chunks in versions.values())
        >= rules.chunks
    )

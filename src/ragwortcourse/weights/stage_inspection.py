"""Orders of a former loader that the engine may still accept.

A loader that starts knows nothing of the orders that its predecessor sent. An
order that the engine may still accept is for a version that is staged
completely, as a loader stages nothing else meanwhile.
"""

import asyncio
import enum
import logging
from collections.abc import Mapping
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_check import adopt_staged
from ragwortcourse.weights.unanswered_order import (
    LATE_CALL_SECONDS,
    UnansweredOrder,
)

# Pause before chunks that match no manifest are compared again.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class FormerOrder(enum.StrEnum):
    """What the staged chunks tell about an order of a former loader."""

    NONE = 'none'
    POSSIBLE = 'possible'
    # Of a version that can't be ordered again.
    UNKNOWN = 'unknown'


def judge_staged(
    found: Mapping[int, int], *, chunks: int, held: int, newest: int
) -> FormerOrder:
    """Tell whether the engine may still accept an order of a former loader.

    Single chunks may have been spoilt since that order.

    :param found: number of staged chunks by version; no unknown ones.
    :param chunks: number of staged chunks.
    :param held: version that the engine holds; zero for none.
    :param newest: newest named version.
    """
    version = max(found, key=lambda each: found[each], default=0)
    count = found.get(version, 0)
    unknown = chunks - sum(found.values())
    if count == chunks and version > held:
        return FormerOrder.POSSIBLE
    if newest in found:
        # A download stages its first chunk when no order is open.
        return FormerOrder.NONE
    is_spoilt = unknown > 0 and count * 2 > chunks
    if unknown * 2 > chunks or (is_spoilt and version > held):
        return FormerOrder.UNKNOWN
    return FormerOrder.NONE


async def inspect_stage(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    report: EngineReport,
) -> None:
    """Find the order that a former loader may have left unanswered.

    Without a result, nothing is staged until the calls of the former loader
    count as never performed.
    """
    stage = loader_weights.stage
    if stage.is_inspected:
        return
    age = read_clock_with_suspend() - stage.started_at
    staged = await loader_weights.ports.engine.list_staged(rules.model)
    if age > LATE_CALL_SECONDS or len(staged) < rules.chunks:
        stage.is_inspected = True
        return
    versions = await _identify(loader_weights, rules)
    former = judge_staged(
        {version: len(each.contents) for version, each in versions.items()},
        chunks=rules.chunks,
        held=loader_weights.read_held(rules),
        newest=loader_weights.list_named(rules)[-1].version,
    )
    LOGGER.info(
        'staged chunks of a former loader inspected',
        extra={'versions': list(versions), 'former_order': former},
    )
    if former is FormerOrder.UNKNOWN:
        await asyncio.sleep(RETRY_SECONDS)
        return
    if former is FormerOrder.POSSIBLE:
        stage.open_order = UnansweredOrder(
            chunks=versions.popitem()[1],
            orders=report.orders,
            sent_at=read_clock_with_suspend(),
        )
    stage.is_inspected = True


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

"""Orders of a former loader that the engine may still accept.

A loader that starts knows nothing of the orders that its predecessor sent. An
order that the engine may still accept is for a version that is staged
completely, but for single chunks that late writes replaced or that spoilt.
"""

import asyncio
import enum
import logging
from collections.abc import Mapping
from typing import Final

from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_check import adopt_staged
from ragwortcourse.weights.unanswered_order import UnansweredOrder

# Pause before chunks that match no manifest are compared again.
RETRY_SECONDS: Final = 1.0

LOGGER: Final = logging.getLogger(__name__)


class FormerOrder(enum.StrEnum):
    """What the staged chunks tell about an order of a former loader."""

    NONE = 'none'
    # Of the version of most staged chunks.
    POSSIBLE = 'possible'
    UNKNOWN = 'unknown'


def judge_staged(
    found: Mapping[int, int],
    *,
    chunks: int,
    held: int,
    newest: int,
    are_newer_known: bool,
) -> FormerOrder:
    """Tell whether the engine may still accept an order of a former loader.

    Single chunks may have been spoilt, or replaced by late writes, since that
    order.

    :param found: number of staged chunks by version; no unknown ones.
    :param chunks: number of staged chunks.
    :param held: version that the engine holds; zero for none.
    :param newest: newest named version.
    :param are_newer_known: whether the chunks of all named versions above the
        held one are known.
    """
    version = max(found, key=lambda each: found[each], default=0)
    count = found.get(version, 0)
    unknown = chunks - sum(found.values())
    is_most = count * 2 > chunks and version < newest
    if version > held and (count == chunks or is_most):
        return FormerOrder.POSSIBLE
    # A download of the newest version replaces chunks when no order is open.
    may_be_newer = not are_newer_known and newest not in found
    if unknown * 2 > chunks and may_be_newer:
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
    staged = await loader_weights.ports.engine.list_staged(rules.model)
    if staged is None or len(staged) < rules.chunks:
        stage.is_inspected = staged is not None
        return
    versions = await _identify(loader_weights, rules)
    found = {version: len(each.contents) for version, each in versions.items()}
    former = judge_staged(
        {version: count for version, count in found.items() if count},
        chunks=rules.chunks,
        held=loader_weights.read_held(rules),
        newest=loader_weights.list_named(rules)[-1].version,
        are_newer_known=_list_newer(loader_weights, rules) <= versions.keys(),
    )
    LOGGER.info(
        'staged chunks of a former loader inspected',
        extra={
            'model': rules.model,
            'versions': found,
            'former_order': former,
        },
    )
    if former is FormerOrder.NONE:
        stage.is_inspected = True
        return
    if former is FormerOrder.POSSIBLE:
        chunks = max(versions.values(), key=lambda each: len(each.contents))
        await _download_missing(loader_weights, chunks)
        if not chunks.missing:
            stage.is_inspected = True
            stage.open_order = UnansweredOrder(
                chunks=chunks,
                orders=report.orders,
                sent_at=stage.answered,
            )
            return
    await asyncio.sleep(RETRY_SECONDS)


async def _download_missing(
    loader_weights: LoaderWeights, chunks: VersionChunks
) -> None:
    """Download the chunks of a version that are no longer staged, once."""
    for index in chunks.missing:
        content = await loader_weights.ports.download_chunk(
            chunks.manifest, index, loader_weights.link_rate
        )
        chunks.take(index, content)


async def _identify(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> dict[int, VersionChunks]:
    """Return the staged chunks of the versions whose manifests are known."""
    candidates = _list_newer(loader_weights, rules)
    candidates.add(loader_weights.read_held(rules))
    versions: dict[int, VersionChunks] = {}
    for version in sorted(candidates - {0}, reverse=True):
        manifest = await loader_weights.ports.read_manifest(
            rules.model, version
        )
        if manifest is None or len(manifest.digests) != rules.chunks:
            continue
        versions[version] = VersionChunks(manifest=manifest)
        await adopt_staged(loader_weights.ports.engine, versions[version])
        if not versions[version].missing:
            break
    return versions


def _list_newer(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> set[int]:
    """List the named versions above the held one."""
    held = loader_weights.read_held(rules)
    return {
        each.version
        for each in loader_weights.list_named(rules)
        if each.version > held
    }

"""Download of one chunk: from a peer in the tree, else from the origin."""

import asyncio
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.chunk_download_state import ChunkDownloadState
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, PeerAddress
from ragwortcourse.weights.sources import try_origin, try_peer
from ragwortcourse.weights.transfer import Transfer

# Time per source above a host in the tree before the host may ask the origin,
# so that hosts near the root ask first.
ORIGIN_DELAY_PER_LEVEL_SECONDS: Final = 10.0
# Probability with which an attempt after that time asks the origin.
ORIGIN_PROBABILITY: Final = 0.1
# "Not ready" answers after which hosts other than the next source are asked.
WAITS_BEFORE_FALLBACK: Final = 4
# After a longer wait at a source, the host asks again without backoff.
LONG_WAIT_SECONDS: Final = 1.0
FIRST_RETRY_SECONDS: Final = 0.2
LONGEST_RETRY_SECONDS: Final = 5.0


async def download_chunk(
    landing: AgentWeights, transfer: Transfer, index: int
) -> bytes:
    """Return the verified bytes of a chunk; retry until they arrive."""
    state = ChunkDownloadState(
        transfer=transfer, index=index, started_at=read_clock()
    )
    while True:
        attempt_started_at = read_clock()
        content = await _download_once(landing, state)
        if content is not None:
            return content
        state.attempts += 1
        if not _was_held(state, read_clock() - attempt_started_at):
            await _back_off(landing, state)


def _was_held(state: ChunkDownloadState, seconds: float) -> bool:
    """Tell whether a source held the request, so that no backoff is due."""
    return _should_wait(state) and seconds > LONG_WAIT_SECONDS


async def _download_once(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    state.reset_answers()
    transfer = state.transfer
    landing.rebuild_tree_without_exhausted(transfer)
    content = await _probe_unresponsive(landing, state)
    if content is not None:
        return content
    content = await _try_sources(landing, state)
    if content is not None or _should_wait(state):
        return content
    sources = _list_sources(landing, state)
    if state.refused and not state.origin_failed:
        return await _replace_refused(landing, state)
    if not (sources or state.origin_failed):
        return await _try_origin_limited(landing, state)
    return await _try_fallbacks(landing, state, sources)


async def _probe_unresponsive(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Probe the closest source if it was unresponsive.

    :class:`PeerHealth` limits how often it is asked.
    """
    transfer = state.transfer
    for source in transfer.tree.list_sources(landing.own, state.index)[:1]:
        if source.daemon in transfer.view.absent:
            return await try_peer(landing, state, source)
    return None


async def _replace_refused(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask a host with spare link capacity, then the origin."""
    spare_host = state.transfer.view.find_spare(landing.own, state.index)
    if spare_host is not None and state.index != MANIFEST_INDEX:
        content = await try_peer(landing, state, spare_host)
        if content is not None:
            return content
    return await try_origin(landing, state)


async def _try_origin_limited(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask the origin within the limit on concurrent downloads from it.

    Chunks come in order of index, because other hosts wait for this host.
    """
    async with state.transfer.slots.origin:
        return await try_origin(landing, state)


def _list_sources(
    landing: AgentWeights, state: ChunkDownloadState
) -> tuple[PeerAddress, ...]:
    """List the sources in the tree without peers known as unresponsive."""
    transfer = state.transfer
    transfer.exclude_absent(landing.exchange.health.list_ejected())
    return transfer.view.list_sources(landing.own, state.index)


async def _try_sources(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask the sources up the tree, closest first.

    The next source is asked only if the one before it is not expected to get
    the chunk. Each answer or time-out may change the tree, so the sources are
    listed again after each request.
    """
    asked: set[DaemonId] = set()
    while True:
        sources = _list_sources(landing, state)
        remaining = [each for each in sources if each.daemon not in asked]
        if not remaining:
            return None
        asked.add(remaining[0].daemon)
        content = await try_peer(landing, state, remaining[0])
        if content is not None or state.refused or _should_wait(state):
            return content


def _should_wait(state: ChunkDownloadState) -> bool:
    """Tell whether a responsive source is expected to get the chunk."""
    if not state.waiting:
        return False
    return (
        state.not_ready_count < WAITS_BEFORE_FALLBACK
        or state.transfer.expects(state.index)
    )


async def _try_fallbacks(
    landing: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask hosts other than the sources, then the origin if it is allowed."""
    content = await _try_others(landing, state, sources)
    if content is None and _may_ask_origin(landing, state, len(sources)):
        content = await _try_origin_limited(landing, state)
    return content


async def _try_others(
    landing: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask the root to fetch an evicted chunk again, then random members."""
    if state.gone and sources:
        content = await try_peer(landing, state, sources[-1], relay=True)
        if content is not None:
            return content
    if not state.attempts:
        return None
    members = state.transfer.tree.members
    same_domain = [
        member
        for member in members
        if member.failure_domain == landing.own.failure_domain
    ]
    others = [
        landing.rng.choice(group) for group in (same_domain, members) if group
    ]
    for other in others:
        if other != landing.own and other not in sources:
            content = await try_peer(landing, state, other)
            if content is not None:
                return content
    return None


def _may_ask_origin(
    landing: AgentWeights, state: ChunkDownloadState, depth: int
) -> bool:
    """Tell whether to ask the origin, as no peer is expected to help.

    Hosts whose sources are waiting too ask at random, a few at a time.
    Otherwise all hosts would ask the origin at once after an outage.
    """
    if not (depth and state.waiting):
        return True
    waited = read_clock() - state.started_at
    if waited < depth * ORIGIN_DELAY_PER_LEVEL_SECONDS:
        return False
    return landing.rng.random() < ORIGIN_PROBABILITY


async def _back_off(landing: AgentWeights, state: ChunkDownloadState) -> None:
    ceiling = min(
        FIRST_RETRY_SECONDS * 2 ** min(state.attempts, 8),
        LONGEST_RETRY_SECONDS,
    )
    await asyncio.sleep(landing.rng.uniform(ceiling / 2, ceiling))

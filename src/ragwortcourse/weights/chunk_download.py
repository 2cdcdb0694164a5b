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
# "Not ready" answers after which hosts other than the next source are asked,
# unless other chunks keep arriving and this one is not overdue.
WAITS_BEFORE_FALLBACK: Final = 4
# "Not ready" answers of a spare host after which the origin is asked.
WAITS_AT_SPARE: Final = 4
# After a longer wait at a source, the host asks again without backoff.
LONG_WAIT_SECONDS: Final = 1.0
FIRST_RETRY_SECONDS: Final = 0.2
LONGEST_RETRY_SECONDS: Final = 5.0


async def download_chunk(
    agent_weights: AgentWeights, transfer: Transfer, index: int
) -> bytes:
    """Return the verified bytes of a chunk; retry until they arrive."""
    state = ChunkDownloadState(
        transfer=transfer, index=index, started_at=read_clock()
    )
    while True:
        attempt_started_at = read_clock()
        content = await _download_once(agent_weights, state)
        if content is not None:
            return content
        state.attempts += 1
        if not _was_held(state, read_clock() - attempt_started_at):
            await _back_off(agent_weights, state)


def _was_held(state: ChunkDownloadState, seconds: float) -> bool:
    """Tell whether a source held the request, so that no backoff is due."""
    return _should_wait(state) and seconds > LONG_WAIT_SECONDS


async def _download_once(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    state.reset_answers()
    transfer = state.transfer
    agent_weights.rebuild_tree_without_exhausted(transfer)
    content = await _probe_unresponsive(agent_weights, state)
    if content is not None:
        return content
    content = await _try_sources(agent_weights, state)
    if content is not None or _should_wait(state):
        return content
    sources = _list_sources(agent_weights, state)
    if state.refused and not state.origin_failed:
        return await _replace_refused(agent_weights, state)
    if not (sources or state.origin_failed):
        return await _try_origin_limited(agent_weights, state)
    return await _try_fallbacks(agent_weights, state, sources)


async def _probe_unresponsive(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Probe the closest source if it was unresponsive.

    :class:`PeerHealth` limits how often it is asked.
    """
    transfer = state.transfer
    for source in transfer.tree.list_sources(agent_weights.own, state.index)[
        :1
    ]:
        if source.daemon in transfer.view.absent:
            return await try_peer(agent_weights, state, source)
    return None


async def _replace_refused(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask a host with spare link capacity, then the origin."""
    spare_host = state.transfer.view.find_spare(agent_weights.own, state.index)
    if spare_host is not None and state.index != MANIFEST_INDEX:
        content = await _wait_for_spare(agent_weights, state, spare_host)
        if content is not None:
            return content
    return await try_origin(agent_weights, state)


async def _wait_for_spare(
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    spare_host: PeerAddress,
) -> bytes | None:
    """Ask a spare host, which gets the chunk later than this host's source."""
    for _ in range(WAITS_AT_SPARE):
        state.waiting = False
        content = await try_peer(agent_weights, state, spare_host)
        if content is not None or not state.waiting:
            return content
    return None


async def _try_origin_limited(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask the origin within the limit on concurrent downloads from it.

    Chunks come in order of index, because other hosts wait for this host.
    """
    async with state.transfer.slots.origin:
        return await try_origin(agent_weights, state)


def _list_sources(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> tuple[PeerAddress, ...]:
    """List the sources in the tree without peers known as unresponsive."""
    transfer = state.transfer
    transfer.exclude_absent(agent_weights.exchange.health.list_ejected())
    return transfer.view.list_sources(agent_weights.own, state.index)


async def _try_sources(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask the sources up the tree, closest first.

    The next source is asked only if the one before it is not expected to get
    the chunk. Each answer or time-out may change the tree, so the sources are
    listed again after each request.
    """
    asked: set[DaemonId] = set()
    while True:
        sources = _list_sources(agent_weights, state)
        remaining = [each for each in sources if each.daemon not in asked]
        if not remaining:
            return None
        asked.add(remaining[0].daemon)
        content = await try_peer(agent_weights, state, remaining[0])
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
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask hosts other than the sources, then the origin if it is allowed."""
    content = await _try_others(agent_weights, state, sources)
    if content is None and _may_ask_origin(agent_weights, state, len(sources)):
        content = await _try_origin_limited(agent_weights, state)
    return content


async def _try_others(
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask the root to fetch an evicted chunk again, then random members."""
    if state.gone and sources:
        content = await try_peer(agent_weights, state, sources[-1], relay=True)
        if content is not None:
            return content
    if not state.attempts:
        return None
    members = state.transfer.tree.members
    same_domain = [
        member
        for member in members
        if member.failure_domain == agent_weights.own.failure_domain
    ]
    others = [
        agent_weights.rng.choice(group)
        for group in (same_domain, members)
        if group
    ]
    for other in others:
        if other != agent_weights.own and other not in sources:
            content = await try_peer(agent_weights, state, other)
            if content is not None:
                return content
    return None


def _may_ask_origin(
    agent_weights: AgentWeights, state: ChunkDownloadState, depth: int
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
    return agent_weights.rng.random() < ORIGIN_PROBABILITY


async def _back_off(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> None:
    ceiling = min(
        FIRST_RETRY_SECONDS * 2 ** min(state.attempts, 8),
        LONGEST_RETRY_SECONDS,
    )
    await asyncio.sleep(agent_weights.rng.uniform(ceiling / 2, ceiling))

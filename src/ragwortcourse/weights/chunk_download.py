"""Drawing one chunk: from a peer by the tree, in need from the origin."""

import asyncio
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.chunk_download_state import ChunkDownloadState
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, PeerAddress
from ragwortcourse.weights.sources import try_origin, try_peer
from ragwortcourse.weights.transfer import Transfer

# Hosts without a live source turn to the origin one after the other.
ORIGIN_TURN_SECONDS: Final = 10.0
ORIGIN_TURN_SHARE: Final = 0.1
# After so many waits in vain, others than the next source are asked too.
WAITS_BEFORE_FALLBACK: Final = 4
# Who has waited so long at a source asks again at once.
LONG_WAIT_SECONDS: Final = 1.0
FIRST_RETRY_SECONDS: Final = 0.2
LONGEST_RETRY_SECONDS: Final = 5.0


async def download_chunk(
    landing: AgentWeights, transfer: Transfer, index: int
) -> bytes:
    """Bytes of a chunk with the right digest, however long it takes."""
    state = ChunkDownloadState(
        transfer=transfer, index=index, started_at=read_clock()
    )
    while True:
        began = read_clock()
        content = await _draw_once(landing, state)
        if content is not None:
            return content
        state.attempts += 1
        if not _has_waited(state, read_clock() - began):
            await _back_off(landing, state)


def _has_waited(state: ChunkDownloadState, seconds: float) -> bool:
    """Tell whether a source has let this host wait, so that it asks again."""
    return _is_patient(state) and seconds > LONG_WAIT_SECONDS


async def _draw_once(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    state.forget_answers()
    transfer = state.transfer
    landing.rebuild_tree_without_exhausted(transfer)
    content = await _try_absent(landing, state)
    if content is not None:
        return content
    content = await _try_sources(landing, state)
    if content is not None or _is_patient(state):
        return content
    sources = _list_sources(landing, state)
    if state.refused and not state.origin_failed:
        return await _replace_refused(landing, state)
    if not (sources or state.origin_failed):
        return await _try_origin_in_turn(landing, state)
    return await _try_beyond(landing, state, sources)


async def _try_absent(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask a source that was silent, once in a while."""
    transfer = state.transfer
    for source in transfer.tree.list_sources(landing.own, state.index)[:1]:
        if source.daemon in transfer.view.absent:
            return await try_peer(landing, state, source)
    return None


async def _replace_refused(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask a host with room on its link, or the origin."""
    spare = state.transfer.view.find_spare(landing.own, state.index)
    if spare is not None and state.index != MANIFEST_INDEX:
        content = await try_peer(landing, state, spare)
        if content is not None:
            return content
    return await try_origin(landing, state)


async def _try_origin_in_turn(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask the origin in order of index, as other hosts wait for this one."""
    async with state.transfer.slots.origin:
        return await try_origin(landing, state)


def _list_sources(
    landing: AgentWeights, state: ChunkDownloadState
) -> tuple[PeerAddress, ...]:
    """Whom to ask, by what is known now of those who do not answer."""
    transfer = state.transfer
    transfer.pass_by(landing.exchange.health.list_absent())
    return transfer.view.list_sources(landing.own, state.index)


async def _try_sources(
    landing: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Ask up the tree, past a source only where that gives no hope.

    The tree may have changed after each answer, or the lack of one.
    """
    asked: set[DaemonId] = set()
    while True:
        sources = _list_sources(landing, state)
        left = [each for each in sources if each.daemon not in asked]
        if not left:
            return None
        asked.add(left[0].daemon)
        content = await try_peer(landing, state, left[0])
        if content is not None or state.refused or _is_patient(state):
            return content


def _is_patient(state: ChunkDownloadState) -> bool:
    """Tell whether a source lives that is worth waiting for."""
    if not state.waiting:
        return False
    return state.laters < WAITS_BEFORE_FALLBACK or state.transfer.expects(
        state.index
    )


async def _try_beyond(
    landing: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask others than the sources, and the origin in turn."""
    content = await _try_others(landing, state, sources)
    if content is None and _may_ask_origin(landing, state, len(sources)):
        content = await _try_origin_in_turn(landing, state)
    return content


async def _try_others(
    landing: AgentWeights,
    state: ChunkDownloadState,
    sources: tuple[PeerAddress, ...],
) -> bytes | None:
    """Ask beyond the tree: the root to fetch it anew, then anybody."""
    if state.gone and sources:
        content = await try_peer(landing, state, sources[-1], relay=True)
        if content is not None:
            return content
    if not state.attempts:
        return None
    members = state.transfer.tree.members
    near = [
        member
        for member in members
        if member.failure_domain == landing.own.failure_domain
    ]
    others = [landing.rng.choice(group) for group in (near, members) if group]
    for other in others:
        if other != landing.own and other not in sources:
            content = await try_peer(landing, state, other)
            if content is not None:
                return content
    return None


def _may_ask_origin(
    landing: AgentWeights, state: ChunkDownloadState, depth: int
) -> bool:
    """Tell whether no peer can be expected to bring the chunk.

    Hosts whose sources wait as they do try now and then, a few at a time:
    else all would turn to the origin at once after an outage.
    """
    if not (depth and state.waiting):
        return True
    waited = read_clock() - state.started_at
    if waited < depth * ORIGIN_TURN_SECONDS:
        return False
    return landing.rng.random() < ORIGIN_TURN_SHARE


async def _back_off(landing: AgentWeights, state: ChunkDownloadState) -> None:
    ceiling = min(
        FIRST_RETRY_SECONDS * 2 ** min(state.attempts, 8),
        LONGEST_RETRY_SECONDS,
    )
    await asyncio.sleep(landing.rng.uniform(ceiling / 2, ceiling))

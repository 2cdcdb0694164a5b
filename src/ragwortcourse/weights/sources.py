"""Request one chunk from a peer or from the origin."""

import asyncio
from collections.abc import Iterable
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.chunk_download_state import ChunkDownloadState
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.origin import OriginBusy, OriginContent
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkAnswer,
    ChunkContent,
    ChunkDeclined,
    ChunkEvicted,
    ChunkNotReady,
    ChunkOutcome,
    ChunkRefused,
    ChunkRequest,
    PeerAddress,
)
from ragwortcourse.weights.transfer import Transfer

METER: Final = metrics.get_meter(__name__)
CORRUPTED: Final = METER.create_counter('weights_corrupted_chunks')
RECEIVED: Final = METER.create_counter('weights_received_bytes')

# Longest time that a peer holds a request until the chunk reaches the peer.
WAIT_SECONDS: Final = 3.0
# Multiple of the usual transfer time that a chunk may take beyond the wait.
STALL_FACTOR: Final = 4
SHORTEST_STALL_SECONDS: Final = 5.0


def accept_silence_reports(
    agent_weights: AgentWeights, transfer: Transfer, silent: Iterable[DaemonId]
) -> None:
    """Skip the tree members that another host reports as silent."""
    agent_weights.exchange.health.merge_silence_reports(
        peer
        for peer in silent
        if transfer.tree.find_domain(peer) and peer != agent_weights.own.daemon
    )


async def try_peer(
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    source: PeerAddress,
    *,
    relay: bool = False,
) -> bytes | None:
    """Request the chunk from a peer.

    :param relay: ask the peer to download an evicted chunk again.
    :return: verified content, or None if the peer did not send it.
    """
    if agent_weights.exchange.health.is_ejected(source.daemon):
        return None
    if source.region == agent_weights.own.region:
        outcome = await _fetch(agent_weights, state, source, relay=relay)
    else:
        async with state.transfer.slots.cross_region:
            # The peer may have fallen silent while the request was queued.
            if agent_weights.exchange.health.is_ejected(source.daemon):
                return None
            outcome = await _fetch(agent_weights, state, source, relay=relay)
    if isinstance(outcome, ChunkAnswer):
        accept_silence_reports(agent_weights, state.transfer, outcome.silent)
    if isinstance(outcome, ChunkContent):
        return _check(agent_weights, state, outcome.content, source)
    if isinstance(outcome, PeerUnavailable):
        agent_weights.exchange.health.note_silence(source.daemon)
        return None
    agent_weights.exchange.health.note_answer(source.daemon)
    if isinstance(outcome, ChunkEvicted | ChunkRefused):
        state.gone = True
        state.transfer.exhausted_peers.add(source.daemon)
    if isinstance(outcome, ChunkDeclined | ChunkRefused):
        state.refused = True
    if isinstance(outcome, ChunkRefused):
        state.transfer.note_refusal(source.daemon)
    if isinstance(outcome, ChunkNotReady):
        state.waiting = True
        state.not_ready_count += 1
    return None


async def _fetch(
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    source: PeerAddress,
    *,
    relay: bool,
) -> ChunkOutcome:
    transfer = state.transfer
    request = ChunkRequest(
        manifest=transfer.digest,
        index=state.index,
        sender=agent_weights.own.daemon,
        refetch=relay,
        urgent=state.origin_failed,
        leaf=_is_leaf(agent_weights, state),
        silent=agent_weights.exchange.health.list_recently_silent(),
    )
    exchange = agent_weights.exchange
    await exchange.pace_down.wait(transfer.measure(state.index))
    usual = exchange.health.usual_seconds
    allowance = max(SHORTEST_STALL_SECONDS, STALL_FACTOR * usual)
    began = read_clock()
    transfer.pending_sources[state.index] = source.daemon
    try:
        async with exchange.health.limit_wait(
            source.daemon, WAIT_SECONDS + allowance
        ):
            outcome = await agent_weights.ports.chunk_port.fetch(
                source.address, request
            )
    except TimeoutError:
        return PeerUnavailable(detail=f'{source.address}: chunk stalled')
    finally:
        transfer.pending_sources.pop(state.index, None)
    agent_weights.exchange.health.note_seconds(read_clock() - began)
    return outcome


def _is_leaf(agent_weights: AgentWeights, state: ChunkDownloadState) -> bool:
    """Tell whether no host waits for the chunk, in the first request for it.

    Later requests are for a chunk that is hard to get and must not be declined.
    """
    if state.attempts or state.refused:
        return False
    view = state.transfer.view
    return not view.list_children(agent_weights.own, state.index)


def _check(
    agent_weights: AgentWeights,
    state: ChunkDownloadState,
    content: bytes,
    source: PeerAddress | None,
) -> bytes | None:
    transfer = state.transfer
    if digest_bytes(content) == transfer.find_digest(state.index):
        kind = name_source(agent_weights.own, source)
        if state.index != MANIFEST_INDEX:
            transfer.counts.note_received(kind, len(content))
            RECEIVED.add(len(content), {'source': kind})
        if source is not None:
            agent_weights.exchange.health.note_answer(source.daemon)
        return content
    transfer.counts.note_corrupted(len(content))
    CORRUPTED.add(1)
    if source is not None:
        agent_weights.exchange.health.note_damage(source.daemon)
    return None


def name_source(own: PeerAddress, source: PeerAddress | None) -> str:
    """Return the kind of source that progress and counters report."""
    if source is None:
        return 'origin'
    if source.failure_domain == own.failure_domain:
        return 'failure_domain'
    return 'region' if source.region == own.region else 'other_region'


async def try_origin(
    agent_weights: AgentWeights, state: ChunkDownloadState
) -> bytes | None:
    """Request the chunk from the origin.

    :return: verified content, or None if the origin did not send it.
    """
    transfer = state.transfer
    await agent_weights.exchange.pace_down.wait(transfer.measure(state.index))
    if state.index == MANIFEST_INDEX:
        outcome = await agent_weights.ports.origin.read_manifest(
            transfer.digest
        )
    else:
        manifest = transfer.require_manifest()
        outcome = await agent_weights.ports.origin.read_chunk(
            manifest.model, manifest.version, state.index
        )
    if isinstance(outcome, OriginContent | OriginBusy):
        agent_weights.exchange.health.heard_at = read_clock()
    if isinstance(outcome, OriginContent):
        return _check(agent_weights, state, outcome.content, None)
    if isinstance(outcome, OriginBusy):
        jitter = agent_weights.rng.uniform(1, 2)
        await asyncio.sleep(outcome.retry_after * jitter)
    else:
        state.origin_failed = True
    return None

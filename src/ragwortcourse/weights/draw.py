"""Drawing one chunk: from a peer by the tree, in need from the origin."""

import asyncio
import dataclasses
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.messages.peer_port import PeerSilent
from ragwortcourse.platform.origin import OriginBusy, OriginContent
from ragwortcourse.weights.landing import Landing
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkContent,
    ChunkGone,
    ChunkLater,
    ChunkOutcome,
    ChunkRefused,
    ChunkRequest,
    PeerAddress,
)
from ragwortcourse.weights.transfer import Transfer

METER: Final = metrics.get_meter(__name__)
CORRUPTED: Final = METER.create_counter('weights_corrupted_chunks')
RECEIVED: Final = METER.create_counter('weights_received_bytes')

# A peer may let a request wait so long for a chunk to reach it.
WAIT_SECONDS: Final = 3.0
# Beyond the wait, a chunk may take so many times the usual time.
STALL_FACTOR: Final = 4
SHORTEST_STALL_SECONDS: Final = 5.0
# Hosts without a live source turn to the origin one after the other.
ORIGIN_TURN_SECONDS: Final = 10.0
ORIGIN_TURN_SHARE: Final = 0.1
# After so many waits in vain, others than the next source are asked too.
PATIENCE: Final = 4
FIRST_RETRY_SECONDS: Final = 0.2
LONGEST_RETRY_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class DrawState:
    """How the search for one chunk stands.

    :param laters: times that a source asked for patience.
    :param origin_failed: the origin did not give the chunk.
    :param gone: a source held the chunk and let it go.
    :param waiting: a source lives and expects to get the chunk.
    """

    transfer: Transfer
    index: int
    started_at: float
    attempts: int = 0
    laters: int = 0
    origin_failed: bool = False
    gone: bool = False
    waiting: bool = False


async def draw_chunk(landing: Landing, transfer: Transfer, index: int) -> bytes:
    """Bytes of a chunk with the right digest, however long it takes."""
    state = DrawState(transfer=transfer, index=index, started_at=read_clock())
    while True:
        content = await _draw_once(landing, state)
        if content is not None:
            return content
        await _back_off(landing, state)


async def _draw_once(landing: Landing, state: DrawState) -> bytes | None:
    state.gone = False
    state.waiting = False
    landing.leave_spent(state.transfer)
    sources = state.transfer.tree.list_sources(landing.own, state.index)
    content = await _try_sources(landing, state, sources)
    if content is not None or _is_patient(state):
        return content
    content = await _try_others(landing, state, sources)
    if content is None and _may_ask_origin(landing, state, len(sources)):
        content = await _try_origin(landing, state)
    return content


async def _try_sources(
    landing: Landing, state: DrawState, sources: tuple[PeerAddress, ...]
) -> bytes | None:
    """Ask up the tree, past a source only where that gives no hope."""
    for source in sources:
        content = await _try_peer(landing, state, source)
        if content is not None or _is_patient(state):
            return content
    return None


def _is_patient(state: DrawState) -> bool:
    """Tell whether a source lives that is worth waiting for."""
    return state.waiting and state.laters < PATIENCE


async def _try_others(
    landing: Landing, state: DrawState, sources: tuple[PeerAddress, ...]
) -> bytes | None:
    """Ask beyond the tree: the root to fetch it anew, then anybody."""
    if state.gone and sources:
        content = await _try_peer(landing, state, sources[-1], relay=True)
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
            content = await _try_peer(landing, state, other)
            if content is not None:
                return content
    return None


def _may_ask_origin(landing: Landing, state: DrawState, depth: int) -> bool:
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


async def _try_peer(
    landing: Landing,
    state: DrawState,
    source: PeerAddress,
    *,
    relay: bool = False,
) -> bytes | None:
    if landing.exchange.health.is_passed_by(source.daemon):
        return None
    outcome = await _fetch(landing, state, source, relay=relay)
    if isinstance(outcome, ChunkContent):
        return _check(landing, state, outcome.content, source)
    if isinstance(outcome, PeerSilent):
        landing.exchange.health.note_silence(source.daemon)
        return None
    landing.exchange.health.note_answer(source.daemon)
    if isinstance(outcome, ChunkGone | ChunkRefused):
        state.gone = True
        state.transfer.spent.add(source.daemon)
    if isinstance(outcome, ChunkLater):
        state.waiting = True
        state.laters += 1
    return None


async def _fetch(
    landing: Landing, state: DrawState, source: PeerAddress, *, relay: bool
) -> ChunkOutcome:
    transfer = state.transfer
    request = ChunkRequest(
        manifest=transfer.digest,
        index=state.index,
        sender=landing.own.daemon,
        relay=relay,
        urgent=state.origin_failed,
    )
    exchange = landing.exchange
    await exchange.pace_down.wait(transfer.measure(state.index))
    usual = exchange.health.usual_seconds
    allowance = max(SHORTEST_STALL_SECONDS, STALL_FACTOR * usual)
    began = read_clock()
    transfer.asking[state.index] = source.daemon
    try:
        async with asyncio.timeout(WAIT_SECONDS + allowance):
            outcome = await landing.ports.chunk_port.fetch(
                source.address, request
            )
    except TimeoutError:
        return PeerSilent(detail=f'{source.address}: chunk stalled')
    finally:
        transfer.asking.pop(state.index, None)
    landing.exchange.health.note_seconds(read_clock() - began)
    return outcome


def _check(
    landing: Landing,
    state: DrawState,
    content: bytes,
    source: PeerAddress | None,
) -> bytes | None:
    transfer = state.transfer
    if digest_bytes(content) == transfer.find_digest(state.index):
        kind = name_source(landing.own, source)
        if state.index != MANIFEST_INDEX:
            transfer.counts.note_received(kind, len(content))
            RECEIVED.add(len(content), {'source': kind})
        if source is not None:
            landing.exchange.health.note_answer(source.daemon)
        return content
    transfer.counts.note_corrupted(len(content))
    CORRUPTED.add(1)
    if source is not None:
        landing.exchange.health.note_damage(source.daemon)
    return None


def name_source(own: PeerAddress, source: PeerAddress | None) -> str:
    """Kind of source, as progress and counters report it."""
    if source is None:
        return 'origin'
    if source.failure_domain == own.failure_domain:
        return 'failure_domain'
    return 'region' if source.region == own.region else 'other_region'


async def _try_origin(landing: Landing, state: DrawState) -> bytes | None:
    transfer = state.transfer
    await landing.exchange.pace_down.wait(transfer.measure(state.index))
    if state.index == MANIFEST_INDEX:
        outcome = await landing.ports.origin.read_manifest(transfer.digest)
    else:
        manifest = transfer.require_manifest()
        outcome = await landing.ports.origin.read_chunk(
            manifest.model, manifest.version, state.index
        )
    if isinstance(outcome, OriginContent):
        return _check(landing, state, outcome.content, None)
    if isinstance(outcome, OriginBusy):
        jitter = landing.rng.uniform(1, 2)
        await asyncio.sleep(outcome.retry_after * jitter)
    else:
        state.origin_failed = True
    return None


async def _back_off(landing: Landing, state: DrawState) -> None:
    state.attempts += 1
    ceiling = min(
        FIRST_RETRY_SECONDS * 2 ** min(state.attempts, 8),
        LONGEST_RETRY_SECONDS,
    )
    await asyncio.sleep(landing.rng.uniform(ceiling / 2, ceiling))

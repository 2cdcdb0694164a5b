"""Serve chunks to peers."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.chunk_download import download_chunk
from ragwortcourse.weights.declining import decline
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkAnswer,
    ChunkContent,
    ChunkDeclined,
    ChunkEvicted,
    ChunkNotReady,
    ChunkRefused,
    ChunkRequest,
)
from ragwortcourse.weights.sources import WAIT_SECONDS, accept_silence_reports
from ragwortcourse.weights.transfer import Transfer

# Margin by which an answer precedes the requesting peer's time-out.
MARGIN_SECONDS: Final = 0.5
# Number of chunk indexes by which other failure domains are preferred.
CHUNKS_EARLIER: Final = 8


@contextlib.asynccontextmanager
async def offer_chunk(
    agent_weights: AgentWeights, request: ChunkRequest
) -> AsyncIterator[ChunkAnswer]:
    """Yield the answer to a peer; send its content inside the context.

    The context pins the chunk and holds an upload slot.
    """
    async with _find_answer(agent_weights, request) as outcome:
        silent = agent_weights.exchange.health.list_recently_silent()
        yield dataclasses.replace(outcome, silent=silent) if silent else outcome


@contextlib.asynccontextmanager
async def _find_answer(
    agent_weights: AgentWeights, request: ChunkRequest
) -> AsyncIterator[ChunkAnswer]:
    deadline = read_clock() + WAIT_SECONDS - MARGIN_SECONDS
    # A request shows that its sender is alive.
    agent_weights.exchange.health.note_answer(request.sender)
    if request.probe:
        deadline = read_clock()
    transfer = await _wait_for_transfer(agent_weights, request, deadline)
    if transfer is not None:
        accept_silence_reports(agent_weights, transfer, request.silent)
    if transfer is None or request.probe:
        yield ChunkNotReady()
        return
    if decline(agent_weights, transfer, request):
        yield ChunkDeclined()
        return
    content = await _find_content(agent_weights, transfer, request, deadline)
    if content is None:
        evicted = transfer.held.was_evicted(request.index)
        yield ChunkEvicted() if evicted else ChunkNotReady()
        return
    async with _take_turn(
        agent_weights, transfer, request, deadline
    ) as has_slot:
        if has_slot and _take_budget(transfer, request, len(content)):
            with transfer.held.pin(request.index):
                yield ChunkContent(content=content)
        elif has_slot:
            yield ChunkRefused()
        else:
            yield ChunkNotReady()


@contextlib.asynccontextmanager
async def _take_turn(
    agent_weights: AgentWeights,
    transfer: Transfer,
    request: ChunkRequest,
    deadline: float,
) -> AsyncIterator[bool]:
    """Hold an upload slot; yield whether one was free before the deadline."""
    uploads = agent_weights.exchange.uploads
    passing = agent_weights.exchange.passing_uploads
    chunk = (request.manifest, request.index)
    rank = _rank(agent_weights, transfer, request)
    with contextlib.ExitStack() as stack:
        if request.leaf:
            await passing.let_pass(chunk, deadline)
        else:
            stack.enter_context(passing.hold_leaves(chunk))
        has_slot = await uploads.acquire(rank, deadline)
        if has_slot:
            stack.callback(uploads.release)
        yield has_slot


def _rank(
    agent_weights: AgentWeights, transfer: Transfer, request: ChunkRequest
) -> int:
    """Rank uploads by chunk index, with preference to other failure domains.

    All hosts of another failure domain wait for the requesting host.
    """
    domain = transfer.tree.find_domain(request.sender)
    if domain == agent_weights.own.failure_domain:
        return request.index
    return request.index - CHUNKS_EARLIER


def _take_budget(transfer: Transfer, request: ChunkRequest, size: int) -> bool:
    """Charge an answer to the link budget; return whether it may be sent."""
    if request.index == MANIFEST_INDEX:
        transfer.counts.overhead += size
        return True
    whole = transfer.require_manifest().size
    may_send = transfer.serves(request.sender) and transfer.counts.may_send(
        size, whole
    )
    if not (request.urgent or may_send):
        return False
    transfer.counts.sent += size
    transfer.held.note_sent(request.index, request.sender)
    return True


async def _wait_for_transfer(
    agent_weights: AgentWeights, request: ChunkRequest, deadline: float
) -> Transfer | None:
    while True:
        transfer = agent_weights.exchange.transfers.get(request.manifest)
        if transfer is not None:
            return transfer
        try:
            async with asyncio.timeout_at(deadline):
                await agent_weights.changed.wait()
        except TimeoutError:
            return None


async def _find_content(
    agent_weights: AgentWeights,
    transfer: Transfer,
    request: ChunkRequest,
    deadline: float,
) -> bytes | None:
    index = request.index
    if transfer.pending_sources.get(index) == request.sender:
        # Each host waits for the other's chunk. The later request is answered
        # with "not ready" at once, so that its sender asks another host.
        return None
    if request.refetch and _may_relay(transfer, index):
        return await refetch_chunk(agent_weights, transfer, index)
    return await transfer.wait(index, max(deadline - read_clock(), 0))


def _may_relay(transfer: Transfer, index: int) -> bool:
    """Return whether the link may carry another download and an upload."""
    if not transfer.held.was_evicted(index):
        return False
    manifest = transfer.require_manifest()
    # Running refetches are counted as downloads, but not yet as uploads.
    size = (len(transfer.refetches) + 2) * manifest.measure_chunk(index)
    return transfer.counts.may_send(size, manifest.size)


async def refetch_chunk(
    agent_weights: AgentWeights, transfer: Transfer, index: int
) -> bytes:
    """Download an evicted chunk again, once for all concurrent requests."""
    task = transfer.refetches.get(index)
    if task is None:
        transfer.counts.refetched += transfer.measure(index)
        task = asyncio.create_task(
            _download_again(agent_weights, transfer, index)
        )
        transfer.refetches[index] = task
        task.add_done_callback(lambda _: transfer.refetches.pop(index, None))
    return await asyncio.shield(task)


async def _download_again(
    agent_weights: AgentWeights, transfer: Transfer, index: int
) -> bytes:
    await agent_weights.exchange.memory.reserve(transfer.measure(index))
    content = await download_chunk(agent_weights, transfer, index)
    transfer.keep(index, content)
    transfer.held.mark_consumed(index)
    return content

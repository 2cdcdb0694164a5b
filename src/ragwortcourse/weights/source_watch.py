"""Probes of sources that have become quiet.

Load pattern: hosts die while many others download from them. A source holds a
request until it has the chunk, so a host can't tell a dead source from one that
waits. Requests to a dead source take up the host's concurrent downloads, and
all hosts behind it in the trees stand still until the connections time out;
if the next source is dead too, once more. A probe is answered at once. Only
the source that has been quiet for longest is probed, at a fixed interval, so
that the bytes for probes don't depend on the number of hosts.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.peer_port import (
    MANIFEST_INDEX,
    ChunkAnswer,
    ChunkRequest,
    PeerAddress,
)
from ragwortcourse.weights.sources import accept_silence_reports
from ragwortcourse.weights.transfer import Transfer

PROBE_INTERVAL_SECONDS: Final = 0.25
# Time without a sign of life after which a source is probed.
QUIET_SECONDS: Final = 0.5
# A probe may take this time, or this multiple of the usual time if longer.
SHORTEST_LIMIT_SECONDS: Final = 0.5
LIMIT_FACTOR: Final = 8
# Hosts that are probed beside a source that may not be the only quiet one.
WITNESSES: Final = 2


@contextlib.asynccontextmanager
async def watch_sources(
    agent_weights: AgentWeights, transfer: Transfer
) -> AsyncIterator[None]:
    """Probe quiet sources of a transfer inside the context."""
    watch = asyncio.create_task(_probe_quiet(agent_weights, transfer))
    try:
        yield
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)


async def _probe_quiet(agent_weights: AgentWeights, transfer: Transfer) -> None:
    async with asyncio.TaskGroup() as probes:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            quiet = agent_weights.exchange.health.take_quiet(QUIET_SECONDS)
            source = quiet and transfer.tree.find_member(quiet)
            if source:
                probes.create_task(_probe(agent_weights, transfer, source))


async def _probe(
    agent_weights: AgentWeights, transfer: Transfer, source: PeerAddress
) -> None:
    """Probe a source; it is silent if only others answer meanwhile."""
    health = agent_weights.exchange.health
    began = read_clock()
    if await _is_answered(agent_weights, transfer, source):
        return
    witnesses = _draw_witnesses(agent_weights, transfer, source)
    if health.heard_at < began and witnesses:
        # The link of this host may have stopped.
        began = read_clock()
        await asyncio.gather(
            *(
                _is_answered(agent_weights, transfer, peer)
                for peer in (source, *witnesses)
            )
        )
    is_heard = health.was_heard_since(source.daemon, began)
    if not is_heard and (health.heard_at >= began or not witnesses):
        health.note_silence(source.daemon)


def _draw_witnesses(
    agent_weights: AgentWeights, transfer: Transfer, source: PeerAddress
) -> tuple[PeerAddress, ...]:
    """Draw hosts that show whether the own link works."""
    health = agent_weights.exchange.health
    others = [
        member
        for member in transfer.tree.members
        if member not in {agent_weights.own, source}
        and member.daemon not in health.list_ejected()
    ]
    return tuple(agent_weights.rng.sample(others, min(len(others), WITNESSES)))


async def _is_answered(
    agent_weights: AgentWeights, transfer: Transfer, peer: PeerAddress
) -> bool:
    health = agent_weights.exchange.health
    request = ChunkRequest(
        manifest=transfer.digest,
        index=MANIFEST_INDEX,
        sender=agent_weights.own.daemon,
        probe=True,
        silent=health.list_recently_silent(),
    )
    began = read_clock()
    limit = max(
        SHORTEST_LIMIT_SECONDS, LIMIT_FACTOR * health.usual_probe_seconds
    )
    try:
        async with asyncio.timeout(limit):
            outcome = await agent_weights.ports.chunk_port.fetch(
                peer.address, request
            )
    except TimeoutError:
        return False
    if not isinstance(outcome, ChunkAnswer):
        return False
    health.note_probe_seconds(read_clock() - began)
    health.note_answer(peer.daemon)
    accept_silence_reports(agent_weights, transfer, outcome.silent)
    return True

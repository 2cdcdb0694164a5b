"""Ports between in-process daemons on an in-process network."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any, TypeVar

from fakes.wire import Host, InProcessNetwork, Lost, Unreached
from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.attempts import bar_attempt, run_attempt
from ragwortcourse.agent.status import answer_heartbeat
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.entry.claim_batch_router import (
    BATCHER_TIMEOUT_SECONDS,
    SendToBatcher,
)
from ragwortcourse.entry.claim_batcher import ClaimBatcher
from ragwortcourse.entry.crasher_peers import SendCrasher
from ragwortcourse.entry.crasher_sync import merge_crasher
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.identifiers import AttemptId, Generation, Sha256Hex
from ragwortcourse.membership.exchange import answer_exchange
from ragwortcourse.membership.membership import Membership
from ragwortcourse.messages.attempt import (
    Attempt,
    AttemptLost,
    AttemptOutcome,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import (
    AgentPort,
    DaemonPort,
    PeerUnavailable,
)
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.messages.target_status import TargetStatus
from ragwortcourse.storage.table import (
    CommitOutcome,
    CommitUnknown,
    ConditionalWrite,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.peer_port import (
    ChunkOutcome,
    ChunkPort,
    ChunkRequest,
)
from ragwortcourse.weights.serving import offer_chunk

_Answer = TypeVar('_Answer')


class Residents:
    """Components that answer requests, by address."""

    def __init__(self) -> None:
        self.agents: dict[str, Agent] = {}
        self.landings: dict[str, AgentWeights] = {}
        self.memberships: dict[str, Membership] = {}
        self.holders: dict[str, ConfigurationHolder] = {}
        self.crashers: dict[str, CrasherRegistry] = {}
        self.collectors: dict[str, ClaimBatcher] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireEnd:
    """One host on the network, and the components at other addresses."""

    wire: InProcessNetwork
    host: Host
    residents: Residents


def to_peer_outcome(
    answer: _Answer | Unreached | Lost,
) -> _Answer | PeerUnavailable:
    """Convert a missing answer to :class:`PeerUnavailable`."""
    if isinstance(answer, Unreached | Lost):
        return PeerUnavailable(detail=type(answer).__name__)
    return answer


def build_agent_port(end: WireEnd) -> AgentPort:
    """Build an entry daemon's port to agents."""

    async def start(address: str, attempt: Attempt) -> AttemptOutcome:
        def work() -> Coroutine[Any, Any, AttemptOutcome]:
            return run_attempt(end.residents.agents[address], attempt)

        answer = await end.wire.carry(end.host, address, work)
        if isinstance(answer, Unreached):
            return AttemptUnreached(detail='unreached')
        if isinstance(answer, Lost):
            return AttemptLost(detail='lost')
        return end.wire.relay(end.host, address, answer)

    async def bar(
        address: str, attempt: AttemptId, age: float
    ) -> AttemptReport | PeerUnavailable:
        def work() -> Coroutine[Any, Any, AttemptReport]:
            return bar_attempt(end.residents.agents[address], attempt, age)

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    async def heartbeat(
        address: str, sent: Heartbeat
    ) -> TargetStatus | PeerUnavailable:
        def work() -> Coroutine[Any, Any, TargetStatus]:
            return answer_heartbeat(end.residents.agents[address], sent)

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    return AgentPort(start=start, bar=bar, heartbeat=heartbeat)


def build_daemon_port(end: WireEnd) -> DaemonPort:
    """Build a daemon's port to other daemons."""

    async def fetch_index(
        address: str, generation: Generation
    ) -> bytes | PeerUnavailable:
        async def work() -> bytes | PeerUnavailable:
            snapshot = end.residents.holders[address].snapshot
            if snapshot is None or snapshot.document.generation < generation:
                return PeerUnavailable(detail='404')
            return snapshot.index

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    async def fetch_part(
        address: str, digest: Sha256Hex
    ) -> bytes | PeerUnavailable:
        async def work() -> bytes | PeerUnavailable:
            snapshot = end.residents.holders[address].snapshot
            if snapshot is None or digest not in snapshot.contents:
                return PeerUnavailable(detail='404')
            return snapshot.contents[digest]

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    async def exchange(
        address: str, sent: Heartbeat
    ) -> Heartbeat | PeerUnavailable:
        def work() -> Coroutine[Any, Any, Heartbeat]:
            return answer_exchange(end.residents.memberships[address], sent)

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    return DaemonPort(
        fetch_index=fetch_index, fetch_part=fetch_part, exchange=exchange
    )


def build_batcher_port(end: WireEnd) -> SendToBatcher:
    """Build an entry daemon's port to the daemon that batches claims."""

    async def ask(address: str, write: ConditionalWrite) -> CommitOutcome:
        def work() -> Coroutine[Any, Any, CommitOutcome]:
            return end.residents.collectors[address].commit(write)

        try:
            async with asyncio.timeout(BATCHER_TIMEOUT_SECONDS):
                answer = await end.wire.carry(end.host, address, work)
        except TimeoutError:
            answer = Lost()
        if isinstance(answer, Unreached | Lost):
            return CommitUnknown(detail=type(answer).__name__)
        return answer

    return ask


def build_crasher_port(end: WireEnd) -> SendCrasher:
    """Build an entry daemon's port to report a crasher to another."""

    async def tell(address: str, crasher: SharedCrasher) -> None:
        async def work() -> None:
            merge_crasher(end.residents.crashers[address], crasher)

        await end.wire.carry(end.host, address, work)

    return tell


def build_chunk_port(end: WireEnd) -> ChunkPort:
    """Build an agent's port to the chunks of other agents."""

    async def fetch(address: str, request: ChunkRequest) -> ChunkOutcome:
        async def work() -> ChunkOutcome:
            async with offer_chunk(
                end.residents.landings[address], request
            ) as answer:
                return answer

        return to_peer_outcome(await end.wire.carry(end.host, address, work))

    return ChunkPort(fetch=fetch)

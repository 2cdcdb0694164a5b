"""Control plane of entry daemons and agents in one process.

Configuration feed, target watch and peer exchange are the production code,
connected by :mod:`fakes.memory_network`; no request is served.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any

from fakes.memory_network import (
    MemoryDaemon,
    MemoryNetwork,
    build_memory_agents,
    build_memory_daemons,
    make_rng,
)
from ragwortcourse.configuration.feed import fetch_from_peer, follow_head
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.part_fallback import (
    build_daemons_with_fallback,
)
from ragwortcourse.configuration.settlement import persist_withdrawals
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    HostName,
    RegionName,
    TargetName,
)
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.membership.exchange import (
    answer_exchange,
    exchange_with_peers,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole
from ragwortcourse.membership.membership import Membership
from ragwortcourse.membership.roster import Roster
from ragwortcourse.membership.watch import watch_targets
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.target_status import (
    ServedVersion,
    TargetStatus,
    WeightTransferProgress,
)
from ragwortcourse.settings import ListenSettings, Role, Settings


@dataclasses.dataclass(kw_only=True)
class ControlEntry:
    """State and background tasks of one entry daemon."""

    holder: ConfigurationHolder
    store: ConfigurationStore
    membership: Membership
    tasks: list[asyncio.Task[None]]


@dataclasses.dataclass(kw_only=True)
class ControlAgent:
    """State of one agent, and the status that it reports of its target."""

    holder: ConfigurationHolder
    record: HostRecord
    leaving: bool = False
    running: int = 0
    served: tuple[ServedVersion, ...] = ()
    landing: WeightTransferProgress | None = None


class ControlFleet:
    """Daemons of several failure domains on one network."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.entries: dict[str, ControlEntry] = {}
        self.agents: dict[str, ControlAgent] = {}

    @property
    def holders(self) -> list[ConfigurationHolder]:
        """Configuration holder of each daemon."""
        return [
            *(entry.holder for entry in self.entries.values()),
            *(agent.holder for agent in self.agents.values()),
        ]

    def list_entry(self, name: str, failure_domain: str) -> HostRecord:
        """Add an entry daemon to the platform's list of hosts."""
        record = _make_record(name, failure_domain, role=HostRole.ENTRY)
        self.network.records.append(record)
        return record

    def add_agent(
        self, name: str, failure_domain: str, deployment: str = 'llm'
    ) -> ControlAgent:
        """Add a host and its agent; the target has the agent's name."""
        record = _make_record(
            name,
            failure_domain,
            role=HostRole.AGENT,
            target=TargetName(name),
            deployment=DeploymentName(deployment),
        )
        self.network.records.append(record)
        holder = ConfigurationHolder(with_accounts=False)
        agent = ControlAgent(holder=holder, record=record)
        self.agents[name] = agent
        self.network.daemons[record.address] = MemoryDaemon(
            failure_domain=failure_domain,
            holder=agent.holder,
            heartbeat=self._build_answer(agent),
        )
        return agent

    def start_entry(
        self, name: str, failure_domain: str, *known: HostRecord
    ) -> ControlEntry:
        """Start an entry daemon that has no state but its settings.

        :param known: hosts that its settings name.
        """
        record = _make_record(name, failure_domain, role=HostRole.ENTRY)
        network = self.network
        holder = ConfigurationHolder()
        settings = _make_settings(record, known)
        store = network.build_store(failure_domain)
        membership = Membership(
            settings=settings,
            holder=holder,
            directory=TargetDirectory(),
            roster=Roster(settings=settings),
            hosts=network.build_hosts(failure_domain),
            agent_port=build_memory_agents(
                network=network, failure_domain=failure_domain
            ),
            daemon_port=build_daemons_with_fallback(
                port=build_memory_daemons(
                    network=network, failure_domain=failure_domain, reader=name
                ),
                objects=store.objects,
                holder=holder,
            ),
            rng=make_rng(name),
        )

        async def answer(heartbeat: Heartbeat) -> Heartbeat:
            return await answer_exchange(membership, heartbeat)

        network.daemons[record.address] = MemoryDaemon(
            failure_domain=failure_domain, holder=holder, exchange=answer
        )
        self.entries[name] = ControlEntry(
            holder=holder,
            store=store,
            membership=membership,
            tasks=_start_tasks(membership, store),
        )
        return self.entries[name]

    async def stop(self) -> None:
        """Stop the tasks of every entry daemon."""
        tasks = [
            task for entry in self.entries.values() for task in entry.tasks
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _build_answer(self, agent: ControlAgent) -> Any:
        port = build_memory_daemons(
            network=self.network,
            failure_domain=agent.record.failure_domain,
            reader=str(agent.record.target),
        )

        async def answer(heartbeat: Heartbeat) -> TargetStatus:
            for withdrawal in heartbeat.withdrawals:
                agent.holder.withdraw(withdrawal)
            await fetch_from_peer(
                holder=agent.holder,
                port=port,
                sender=heartbeat.sender,
                generation=heartbeat.generation,
            )
            return _make_status(agent)

        return answer


def _start_tasks(
    membership: Membership, store: ConfigurationStore
) -> list[asyncio.Task[None]]:
    work: tuple[Coroutine[Any, Any, None], ...] = (
        follow_head(
            holder=membership.holder,
            table=store.table,
            objects=store.objects,
            rng=membership.rng,
        ),
        persist_withdrawals(
            holder=membership.holder, store=store, rng=membership.rng
        ),
        watch_targets(membership),
        exchange_with_peers(membership),
    )
    return [asyncio.create_task(part) for part in work]


def _make_record(
    name: str,
    failure_domain: str,
    *,
    role: HostRole,
    target: TargetName | None = None,
    deployment: DeploymentName | None = None,
) -> HostRecord:
    return HostRecord(
        host=HostName(f'host-{name}'),
        role=role,
        daemon=DaemonId(name),
        address=f'{name}:1',
        failure_domain=FailureDomainName(failure_domain),
        region=RegionName('lombardia'),
        target=target,
        deployment=deployment,
    )


def _make_settings(
    record: HostRecord, known: tuple[HostRecord, ...]
) -> Settings:
    return Settings(
        role=Role.ENTRY,
        daemon=record.daemon,
        host=record.host,
        failure_domain=record.failure_domain,
        region=record.region,
        listen=ListenSettings(peers=record.address, watch=''),
        known=known,
    )


def _make_status(agent: ControlAgent) -> TargetStatus:
    record = agent.record
    return TargetStatus(
        target=TargetName(str(record.target)),
        deployment=DeploymentName(str(record.deployment)),
        failure_domain=record.failure_domain,
        limit=1,
        running=agent.running,
        queued=0,
        leaving=agent.leaving,
        served=agent.served,
        landing=agent.landing,
        generation=Generation(agent.holder.generation),
        withdrawals=agent.holder.withdrawals,
    )

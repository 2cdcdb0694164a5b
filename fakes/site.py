"""A small site in one process: daemons, targets and platform.

The daemons run the same tasks and components as the real processes. Only
the ports between daemons, to targets and to the platform are stand-ins.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Final

import msgspec

from fakes.engine_load import EngineLoad
from fakes.faults import Fault, Faults
from fakes.memory_engine import MemoryEngine
from fakes.memory_hosts import build_memory_hosts
from fakes.memory_objects import build_memory_objects
from fakes.memory_table import MemoryRows, build_memory_table
from fakes.origin import (
    OriginStore,
    build_memory_origin,
    build_memory_writer,
)
from fakes.run_recorder import RunRecorder
from fakes.site_daemons import (
    PlatformPorts,
    build_site_agent,
    build_site_entry,
)
from fakes.site_plan import MODEL, SitePlan, make_configuration, make_settings
from fakes.wire import Host, InProcessNetwork
from fakes.wire_ports import Residents, WireEnd
from ragwortcourse.configuration.change import (
    BaseGeneration,
    Draft,
    commit_change,
)
from ragwortcourse.identifiers import ChangeId, DaemonId, HostName, VersionName
from ragwortcourse.membership.hosts import HostRecord, HostRole, HostState
from ragwortcourse.processes.agent_daemon import AgentDaemon
from ragwortcourse.processes.entry_daemon import EntryDaemon
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import Role
from ragwortcourse.storage.objects import ObjectName
from ragwortcourse.weights.publication import Published, publish_weights

MODEL_BYTES: Final = 3000
LANDING_SECONDS: Final = 60.0
# Time until every entry daemon has learned which versions targets serve.
HEARTBEATS_SECONDS: Final = 3.0


@dataclasses.dataclass(kw_only=True)
class RunningDaemon:
    """One daemon with its host and its tasks."""

    host: Host
    tasks: SupervisedTasks
    entry: EntryDaemon | None = None
    agent: AgentDaemon | None = None


class Site:
    """Daemons, targets and platform of one small site, and fault controls.

    :param make_load: makes the load model of each target.
    :ivar records: hosts that the daemons' settings name.
    :ivar listed: hosts on the platform's list.
    """

    def __init__(
        self,
        *,
        plan: SitePlan,
        seed: int,
        make_load: Callable[[], EngineLoad] = EngineLoad,
    ) -> None:
        self.plan = plan
        self._make_load = make_load
        self.rng = random.Random(seed)
        self.wire = InProcessNetwork(rng=random.Random(seed + 1))
        self.run_recorder = RunRecorder()
        self.rows = MemoryRows()
        self.objects: dict[ObjectName, bytes] = {}
        self.origin = OriginStore()
        self.records: list[HostRecord] = []
        self.listed: list[HostRecord] = []
        self.platform_faults: dict[str, Faults] = {}
        self.engines: dict[str, MemoryEngine] = {}
        self.residents: dict[str, RunningDaemon] = {}
        self.routes = Residents()
        self.manifests: dict[str, str] = {}
        self._changes = 0

    async def start(self) -> None:
        """Start all daemons, deploy ``v1`` and wait until it is served."""
        await self.publish('v1')
        for name, target in self.plan.targets.items():
            self.engines[name] = MemoryEngine(
                is_model_engine=target.is_model_engine,
                load=self._make_load(),
            )
            self._list(name, HostRole.AGENT, target.failure_domain)
        for name, failure_domain in self.plan.entries.items():
            self._list(name, HostRole.ENTRY, failure_domain)
        self.listed.extend(self.records)
        for name in self.plan.targets:
            self.start_agent(name)
        for name in self.plan.entries:
            self.start_entry(name)
        await self.deploy('v1')
        await self.wait_until_serving('v1')
        await asyncio.sleep(HEARTBEATS_SECONDS)

    async def publish(self, version: str) -> None:
        """Publish the weights of a version to the origin."""
        path = self.plan.folder / f'{version}.bin'
        path.write_bytes(random.Random(version).randbytes(MODEL_BYTES))
        published = await publish_weights(
            writer=build_memory_writer(self.origin),
            path=path,
            model=MODEL,
            version=VersionName(version),
            chunk_size=1000,
        )
        if not isinstance(published, Published):
            raise TypeError(f'{version}: {published}')
        self.manifests[version] = published.digest

    async def deploy(self, version: str, entry: str | None = None) -> object:
        """Commit a configuration that deploys a version.

        Withdrawals in force stay.

        :param entry: name of the entry daemon; a random one if none.
        :return: outcome of the commit.
        """
        daemon = self.pick_entry(entry)
        configuration = make_configuration(
            self.plan, version, self.manifests[version]
        )

        def draft(base: BaseGeneration) -> Draft:
            before = base.configuration
            return Draft(
                configuration=msgspec.structs.replace(
                    configuration,
                    withdrawn_failure_domains=before.withdrawn_failure_domains,
                    withdrawn_targets=before.withdrawn_targets,
                )
            )

        return await commit_change(
            daemon.entry.holder,
            daemon.operators.store,
            self.name_change(),
            draft,
        )

    def name_change(self) -> ChangeId:
        """Make a new id for an operator's change."""
        self._changes += 1
        return ChangeId(f'change-{self._changes}')

    async def wait_until_serving(self, version: str) -> None:
        """Wait until all live engines serve a version and entries are ready.

        :raises TimeoutError: the weights did not land in time.
        """
        async with asyncio.timeout(LANDING_SECONDS):
            while not (self._all_serve(version) and self._all_ready()):
                await asyncio.sleep(0.2)

    def pick_entry(self, name: str | None = None) -> EntryDaemon:
        """Pick an entry daemon by name, or a random one."""
        living = [
            resident.entry
            for resident in self.residents.values()
            if resident.entry is not None and name in {None, resident.host.name}
        ]
        return self.rng.choice(living)

    def start_entry(self, name: str) -> RunningDaemon:
        """Start an entry daemon on a new host of the same name."""
        host = self._make_host(name, self.plan.entries[name])
        settings = make_settings(self.plan, host, Role.ENTRY, self.records)
        ports = self._make_ports(name)
        daemon = build_site_entry(
            settings, self._make_end(host), ports, self._make_rng(name)
        )
        self.routes.memberships[host.address] = daemon.membership
        self.routes.collectors[host.address] = daemon.entry.claim_batcher
        self.routes.crashers[host.address] = daemon.entry.crashers
        self.routes.holders[host.address] = daemon.entry.holder
        resident = RunningDaemon(
            host=host, tasks=SupervisedTasks(), entry=daemon
        )
        self.residents[name] = resident
        daemon.start(resident.tasks)
        return resident

    def start_agent(self, name: str) -> RunningDaemon:
        """Start an agent on a new host of the same name."""
        host = self._make_host(name, self.plan.targets[name].failure_domain)
        settings = make_settings(self.plan, host, Role.AGENT, self.records)
        ports = self._make_ports(name)
        engine = self.run_recorder.watch(name, host, self.engines[name])
        daemon = build_site_agent(
            settings, self._make_end(host), ports, engine, self._make_rng(name)
        )
        self.routes.agents[host.address] = daemon.agent
        self.routes.landings[host.address] = daemon.agent_weights
        self.routes.holders[host.address] = daemon.agent.holder
        resident = RunningDaemon(
            host=host, tasks=SupervisedTasks(), agent=daemon
        )
        self.residents[name] = resident
        daemon.start(resident.tasks)
        return resident

    async def kill(self, name: str) -> None:
        """Kill a daemon and its host without a planned stop."""
        resident = self.residents[name]
        daemon = resident.entry or resident.agent
        await resident.tasks.stop()
        await resident.host.kill()
        if daemon is not None:
            await daemon.stop()
        self.wire.announce()

    def restart(self, name: str) -> RunningDaemon:
        """Restart the daemon of a killed host."""
        if name in self.plan.entries:
            return self.start_entry(name)
        return self.start_agent(name)

    async def drain(self, name: str) -> None:
        """Stop a daemon as SIGTERM does, and wait until it has ended."""
        resident = self.residents[name]
        daemon = resident.entry or resident.agent
        if daemon is not None:
            await daemon.drain()
        await self.kill(name)

    async def replace(self, name: str) -> None:
        """Stop a daemon as SIGTERM does, and start a new one in its place.

        No new daemon starts if the host is killed or replaced meanwhile.
        """
        resident = self.residents[name]
        await resident.host.thawed.wait()
        daemon = resident.entry or resident.agent
        if daemon is not None:
            await daemon.drain()
        if resident.host.alive:
            await self.kill(name)
            self.restart(name)

    def freeze(self, name: str) -> None:
        """Stop a host from processing messages until it is thawed."""
        self.residents[name].host.thawed.clear()

    def thaw(self, name: str) -> None:
        """Resume a frozen host."""
        self.residents[name].host.thawed.set()

    def break_platform(
        self,
        fault: Fault | None,
        *,
        failure_domain: str | None = None,
        seconds: float = 0.5,
    ) -> None:
        """Set a platform fault for one failure domain, or for all.

        :param fault: none ends the fault.
        :param seconds: delay of each request under the fault.
        """
        for name, faults in self.platform_faults.items():
            where = self.residents[name].host.failure_domain
            if failure_domain in {None, where}:
                faults.set(fault, seconds=seconds if fault else 0)

    def mark_leaving(self, name: str) -> None:
        """Mark a host as leaving on the platform's list of hosts."""
        self.listed[:] = [
            msgspec.structs.replace(record, state=HostState.LEAVING)
            if record.daemon == name
            else record
            for record in self.listed
        ]

    def _make_host(self, name: str, failure_domain: str) -> Host:
        host = Host(name=name, failure_domain=failure_domain)
        self.wire.add(host)
        return host

    def _make_end(self, host: Host) -> WireEnd:
        return WireEnd(wire=self.wire, host=host, residents=self.routes)

    def _make_rng(self, name: str) -> random.Random:
        return random.Random(f'{name}-{self.rng.random()}')

    def _make_ports(self, name: str) -> PlatformPorts:
        faults = self.platform_faults.setdefault(name, Faults())
        return PlatformPorts(
            table=build_memory_table(rows=self.rows, faults=faults),
            objects=build_memory_objects(objects=self.objects, faults=faults),
            hosts=build_memory_hosts(records=self.listed, faults=faults),
            origin=build_memory_origin(self.origin),
        )

    def _list(self, name: str, role: HostRole, failure_domain: str) -> None:
        target = self.plan.targets.get(name)
        self.records.append(
            HostRecord(
                host=HostName(f'host-{name}'),
                role=role,
                daemon=DaemonId(name),
                address=f'{name}:1',
                failure_domain=self.plan.name_domain(failure_domain),
                region=self.plan.find_region(failure_domain),
                target=target.name if target else None,
                deployment=target.deployment if target else None,
            )
        )

    def _all_ready(self) -> bool:
        return all(
            resident.entry.find_unready_reason() is None
            for resident in self.residents.values()
            if resident.entry is not None and resident.host.alive
        )

    def _all_serve(self, version: str) -> bool:
        return all(
            any(
                served.version == version
                for served in resident.agent.agent.served.versions
            )
            for resident in self.residents.values()
            if resident.agent is not None
            and resident.host.alive
            and resident.agent.agent.agent_settings.is_model_engine
        )

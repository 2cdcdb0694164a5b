"""Weight distribution of many agents in one process, over limited links."""

import asyncio
import dataclasses
import hashlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

from fakes.faults import Faults
from fakes.links import ORIGIN, SILENT_SECONDS, Network, yield_parts
from fakes.memory_engine import MemoryEngine
from fakes.memory_table import MemoryRows, build_memory_table
from fakes.origin import (
    OriginStore,
    build_memory_origin,
    name_chunk,
    name_manifest,
)
from ragwortcourse.agent.served import ServedVersions
from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.deployment import Adapter, ModelDeployment
from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.identifiers import (
    AdapterName,
    ChangeId,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    HostName,
    ModelName,
    RegionName,
    Sha256Hex,
    TargetName,
    VersionName,
)
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.settings import (
    AgentSettings,
    ListenSettings,
    PlatformSettings,
    Role,
    Settings,
)
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.agent_weights_ports import AgentWeightsPorts
from ragwortcourse.weights.manifest import (
    Manifest,
    digest_bytes,
    encode_manifest,
)
from ragwortcourse.weights.origin import (
    OriginContent,
    OriginFailed,
    OriginOutcome,
    WeightOrigin,
)
from ragwortcourse.weights.peer_port import (
    ChunkContent,
    ChunkOutcome,
    ChunkPort,
    ChunkRequest,
    PeerAddress,
)
from ragwortcourse.weights.reconciliation import run_reconciliation
from ragwortcourse.weights.sending import pace_pieces
from ragwortcourse.weights.serving import offer_chunk

MODEL = ModelName('model')
DEPLOYMENT = DeploymentName('deployment')
# Bytes of the HTTP headers of one exchange, both directions together.
EXCHANGE_BYTES = 420
POLL_SECONDS = 0.2


@dataclasses.dataclass(kw_only=True)
class LandingHost:
    """One host: its weight handling, its engine and its reconciliation task.

    :ivar task: reconciliation task; none before the start.
    :ivar exchanges: number of chunk requests to peers.
    """

    name: str
    agent_weights: AgentWeights
    engine: MemoryEngine
    task: asyncio.Task[None] | None = None
    exchanges: int = 0


class LandingFleet:
    """Hosts that fetch weights from one origin and from each other.

    :param regions_by_domain: region of each failure domain.
    :param rate: bytes per second of the link of each host.
    :param line_rate: bytes per second between two regions.
    :param origin_only: true if no host knows a peer.
    :param link_rate: link rate in the settings of the hosts.
    """

    def __init__(
        self,
        *,
        hosts: int,
        regions_by_domain: dict[str, str],
        rate: float = 10_000,
        line_rate: float = 10_000,
        chunk_memory: int = 1 << 20,
        checks_fencing: bool = True,
        seed: int = 1,
        requests_per_second: float = 0,
        origin_only: bool = False,
        link_rate: int = 0,
    ) -> None:
        self.link_rate = link_rate
        self.live: dict[str, int] = {}
        self.origin_only = origin_only
        self.regions_by_domain = regions_by_domain
        self.chunk_memory = chunk_memory
        self.checks_fencing = checks_fencing
        self.seed = seed
        self.network = Network(
            rate=rate,
            line_rate=line_rate,
            origin_region=min(regions_by_domain.values()),
        )
        self.store = OriginStore(requests_per_second=requests_per_second)
        self.rows = MemoryRows()
        self.table_faults = Faults()
        self.hosts: dict[str, LandingHost] = {}
        self.peers: list[PeerAddress] = []
        self.generation = 0
        self.running: dict[str, int] = {}
        self.document: ConfigurationDocument | None = None
        domains = list(regions_by_domain)
        for number in range(hosts):
            self.add_host(f'host-{number:03}', domains[number % len(domains)])

    def add_host(self, name: str, failure_domain: str) -> LandingHost:
        """Add a host without starting it."""
        region = self.regions_by_domain[failure_domain]
        self.network.place(name, region, failure_domain)
        self.peers.append(
            PeerAddress(
                daemon=DaemonId(name),
                address=name,
                failure_domain=FailureDomainName(failure_domain),
                region=RegionName(region),
            )
        )
        settings = Settings(
            role=Role.AGENT,
            daemon=DaemonId(name),
            host=HostName(name),
            failure_domain=FailureDomainName(failure_domain),
            region=RegionName(region),
            listen=ListenSettings(peers=name, watch=''),
            platform=PlatformSettings(
                origin_region=RegionName(self.network.places[ORIGIN][0])
            ),
            agent=AgentSettings(
                target=TargetName(name),
                deployment=DEPLOYMENT,
                target_url='',
                chunk_memory=self.chunk_memory,
                checks_fencing=self.checks_fencing,
                link_rate=self.link_rate,
            ),
        )
        engine = MemoryEngine(checks_fencing=self.checks_fencing)
        table = build_memory_table(rows=self.rows, faults=self.table_faults)
        weights = AgentWeights(
            settings=settings,
            holder=ConfigurationHolder(),
            served=ServedVersions(),
            ports=AgentWeightsPorts(
                engine=engine.build(),
                origin=self._build_origin(name),
                chunk_port=ChunkPort(fetch=self._build_fetch(name)),
                list_peers=lambda: (
                    () if self.origin_only else tuple(self.peers)
                ),
                table=table,
                count_running=lambda *_: self.running.get(name, 0),
                count_live=lambda: self.live.get(name, 0),
            ),
            rng=random.Random(f'{self.seed}-{name}'),
        )
        host = LandingHost(name=name, agent_weights=weights, engine=engine)
        self.hosts[name] = host
        return host

    def publish(
        self,
        version: str,
        content: bytes,
        chunk_size: int = 1000,
        name: str = MODEL,
    ) -> Sha256Hex:
        """Store a version at the origin.

        :return: digest of the manifest.
        """
        chunks = [
            content[start : start + chunk_size]
            for start in range(0, len(content), chunk_size)
        ]
        manifest = Manifest(
            model=ModelName(name),
            version=VersionName(version),
            size=len(content),
            sha256=Sha256Hex(hashlib.sha256(content).hexdigest()),
            chunk_size=chunk_size,
            chunks=tuple(digest_bytes(chunk) for chunk in chunks),
        )
        for index, chunk in enumerate(chunks):
            key = name_chunk(manifest.model, manifest.version, index)
            self.store.objects[key] = chunk
        return self.publish_manifest(manifest)

    def publish_manifest(self, manifest: Manifest) -> Sha256Hex:
        """Store a manifest without chunks at the origin.

        :return: digest of the manifest.
        """
        encoded = encode_manifest(manifest)
        digest = digest_bytes(encoded)
        self.store.objects[name_manifest(digest)] = encoded
        return digest

    def deploy(
        self,
        version: str,
        digest: Sha256Hex,
        adapters: tuple[Adapter, ...] = (),
        batch: int = 1,
        *,
        cancelled: bool = False,
        role: EngineRole | None = None,
    ) -> None:
        """Deploy a version on all hosts."""
        deployment = ModelDeployment(
            name=DEPLOYMENT,
            model=MODEL,
            version=VersionName(version),
            manifest_sha256=digest,
            failure_domains=tuple(
                FailureDomainName(name) for name in self.regions_by_domain
            ),
            adapters=adapters,
            batch=batch,
            cancelled=cancelled,
            role=role,
        )
        self.accept((deployment,))

    def accept(self, models: tuple[ModelDeployment, ...]) -> None:
        """Give all hosts a new generation of the configuration."""
        self.generation += 1
        self.document = ConfigurationDocument(
            generation=Generation(self.generation),
            configuration=Configuration(models=models),
            change=ChangeId(f'change-{self.generation}'),
        )
        for host in self.hosts.values():
            host.agent_weights.holder.update_if_newer(self.document)

    def start(self, *names: str) -> None:
        """Start the reconciliation of some hosts, by default of all."""
        for name in names or tuple(self.hosts):
            host = self.hosts[name]
            if self.document is not None:
                host.agent_weights.holder.update_if_newer(self.document)
            host.task = asyncio.create_task(
                run_reconciliation(host.agent_weights)
            )

    async def kill(self, *names: str) -> None:
        """Cut hosts off the network and cancel their tasks."""
        self.network.dead.update(names)
        for name in names:
            task = self.hosts[name].task
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def stop(self) -> None:
        """Kill all hosts."""
        await self.kill(*self.hosts)

    def count_serving(self, version: str, adapter: str = '') -> int:
        """Count the live hosts that may serve a version."""
        name = AdapterName(adapter) if adapter else None
        return sum(
            host.agent_weights.served.allows(MODEL, VersionName(version), name)
            for host in self.hosts.values()
            if host.name not in self.network.dead
        )

    def holds(self, index: int) -> bool:
        """Tell whether any host holds or has held a chunk."""
        return any(
            transfer.held.find(index) is not None
            or transfer.held.was_evicted(index)
            for host in self.hosts.values()
            for transfer in host.agent_weights.exchange.transfers.values()
        )

    async def wait_for(self, version: str, seconds: float) -> float:
        """Wait until all live hosts serve a version.

        :return: seconds that it took.
        :raises TimeoutError: not all served within ``seconds``.
        """
        began = read_clock()
        async with asyncio.timeout(seconds):
            while True:
                live = len(self.hosts) - len(self.network.dead)
                if self.count_serving(version) >= live:
                    return read_clock() - began
                await asyncio.sleep(POLL_SECONDS)

    def _build_origin(self, receiver: str) -> WeightOrigin:
        origin = build_memory_origin(self.store)

        async def carry(outcome: OriginOutcome) -> OriginOutcome:
            if not self.network.reaches(ORIGIN, receiver):
                await asyncio.sleep(SILENT_SECONDS)
                return OriginFailed(detail='cut off')
            if not isinstance(outcome, OriginContent):
                return outcome
            size = len(outcome.content)
            if await self.network.send(ORIGIN, receiver, size):
                return outcome
            return OriginFailed(detail='cut off')

        async def read_manifest(digest: Sha256Hex) -> OriginOutcome:
            return await carry(await origin.read_manifest(digest))

        async def read_chunk(
            model: ModelName, version: VersionName, index: int
        ) -> OriginOutcome:
            return await carry(await origin.read_chunk(model, version, index))

        return WeightOrigin(read_manifest=read_manifest, read_chunk=read_chunk)

    def _build_fetch(
        self, receiver: str
    ) -> Callable[[str, ChunkRequest], Awaitable[ChunkOutcome]]:
        async def fetch(address: str, request: ChunkRequest) -> ChunkOutcome:
            self.hosts[receiver].exchanges += 1
            silent = PeerUnavailable(detail=f'{address} is silent')
            if not self.network.reaches(address, receiver):
                await asyncio.sleep(SILENT_SECONDS)
                return silent
            await asyncio.sleep(self.network.latency)
            await self.network.pass_stop(address, receiver)
            peer = self.hosts[address].agent_weights
            async with offer_chunk(peer, request) as outcome:
                if not self.network.reaches(address, receiver):
                    await asyncio.sleep(SILENT_SECONDS)
                    return silent
                await self.network.pass_stop(address, receiver)
                if not isinstance(outcome, ChunkContent):
                    return outcome
                sizes = measure_pieces(peer, outcome.content)
                if not await self.network.send_pieces(address, receiver, sizes):
                    return silent
                content = self.network.damage_content(address, outcome.content)
                return ChunkContent(content=content)

        return fetch


async def measure_pieces(
    peer: AgentWeights, content: bytes
) -> AsyncIterator[float]:
    """Yield the size in bytes of each piece in which a peer sends a chunk."""
    async for piece in pace_pieces(peer, content):
        if len(piece) < len(content):
            yield len(piece)
            continue
        async for part in yield_parts(len(content)):
            yield part

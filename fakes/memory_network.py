"""In-process network between daemons, connected at their typed ports.

A failure domain can be partitioned from the others and the platform.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable

from fakes.faults import Fault, Faults
from fakes.memory_hosts import build_memory_hosts
from fakes.memory_objects import build_memory_objects
from fakes.memory_table import MemoryRows, build_memory_table
from fakes.paced_table import Pacer, pace_table
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.identifiers import AttemptId, Generation, Sha256Hex
from ragwortcourse.membership.hosts import HostListPort, HostRecord
from ragwortcourse.messages.attempt import (
    Attempt,
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
from ragwortcourse.messages.target_status import TargetStatus
from ragwortcourse.storage.objects import ObjectName

TRIP_SECONDS = 0.001
SILENT_SECONDS = 1.0
# Requests per second that the platform's table service can take.
TABLE_READS = 2000
TABLE_WRITES = 400


@dataclasses.dataclass(kw_only=True)
class MemoryDaemon:
    """One daemon on the network.

    :param exchange: handler of exchanges from entry daemons; set for entry
        daemons only.
    :param heartbeat: handler of heartbeats from entry daemons; set for
        agents only.
    """

    failure_domain: str
    holder: ConfigurationHolder
    exchange: Callable[[Heartbeat], Awaitable[Heartbeat]] | None = None
    heartbeat: Callable[[Heartbeat], Awaitable[TargetStatus]] | None = None


class MemoryNetwork:
    """Daemons by address, network partitions, and the platform.

    :ivar partitioned_domains: failure domains that are partitioned from all
        others.
    :ivar messages: number of messages sent so far.
    :ivar corrupt_parts: corrupt content that the daemon at an address sends
        in place of any configuration part.
    :ivar index_bytes: index bytes fetched from daemons, by reader.
    :ivar part_bytes: part bytes fetched from daemons, by reader.
    """

    def __init__(self) -> None:
        self.daemons: dict[str, MemoryDaemon] = {}
        self.partitioned_domains: set[str] = set()
        self.rows = MemoryRows()
        self.objects: dict[ObjectName, bytes] = {}
        self.records: list[HostRecord] = []
        self.platform_faults: dict[str, Faults] = {}
        self.messages = 0
        self.reads = Pacer(TABLE_READS)
        self.writes = Pacer(TABLE_WRITES)
        self.corrupt_parts: dict[str, bytes] = {}
        self.index_bytes = collections.Counter[str]()
        self.part_bytes = collections.Counter[str]()

    def cut(self, failure_domain: str) -> None:
        """Partition a failure domain from all others and the platform."""
        self.partitioned_domains.add(failure_domain)
        self.read_faults(failure_domain).set(Fault.DOWN)

    def heal(self, failure_domain: str) -> None:
        """End the partition of a failure domain."""
        self.partitioned_domains.discard(failure_domain)
        self.read_faults(failure_domain).set(None)

    def set_platform(self, fault: Fault | None, *, seconds: float = 0) -> None:
        """Set a platform fault for all failure domains; none ends it."""
        for faults in self.platform_faults.values():
            faults.set(fault, seconds=seconds)

    def read_faults(self, failure_domain: str) -> Faults:
        """Return the platform's fault switches for one failure domain."""
        return self.platform_faults.setdefault(failure_domain, Faults())

    def build_store(self, failure_domain: str) -> ConfigurationStore:
        """Build the configuration store as one failure domain reaches it."""
        faults = self.read_faults(failure_domain)
        return ConfigurationStore(
            table=pace_table(
                build_memory_table(rows=self.rows, faults=faults),
                self.reads,
                self.writes,
            ),
            objects=build_memory_objects(objects=self.objects, faults=faults),
        )

    def build_hosts(self, failure_domain: str) -> HostListPort:
        """Build the list of hosts as one failure domain reaches it."""
        faults = self.read_faults(failure_domain)
        return build_memory_hosts(records=self.records, faults=faults)

    async def reach(
        self, failure_domain: str, address: str
    ) -> MemoryDaemon | PeerUnavailable:
        """Find the daemon at an address.

        An unreachable address is reported only after the timeout.
        """
        self.messages += 1
        await asyncio.sleep(TRIP_SECONDS)
        daemon = self.daemons.get(address)
        if daemon is not None and not self._is_cut(failure_domain, daemon):
            return daemon
        await asyncio.sleep(SILENT_SECONDS)
        return PeerUnavailable(detail=f'{address} is out of reach')

    def _is_cut(self, failure_domain: str, daemon: MemoryDaemon) -> bool:
        if failure_domain == daemon.failure_domain:
            return False
        return bool(
            self.partitioned_domains & {failure_domain, daemon.failure_domain}
        )


def build_memory_daemons(
    *, network: MemoryNetwork, failure_domain: str, reader: str = ''
) -> DaemonPort:
    """Build the port to other daemons as a failure domain reaches them.

    :param reader: name under which fetched bytes are counted.
    """

    async def fetch_index(
        address: str, generation: Generation
    ) -> bytes | PeerUnavailable:
        daemon = await network.reach(failure_domain, address)
        if isinstance(daemon, PeerUnavailable):
            return daemon
        snapshot = daemon.holder.snapshot
        if snapshot is None or snapshot.document.generation < generation:
            return PeerUnavailable(detail='no such generation')
        network.index_bytes[reader] += len(snapshot.index)
        return snapshot.index

    async def fetch_part(
        address: str, digest: Sha256Hex
    ) -> bytes | PeerUnavailable:
        daemon = await network.reach(failure_domain, address)
        if isinstance(daemon, PeerUnavailable):
            return daemon
        snapshot = daemon.holder.snapshot
        if snapshot is None or digest not in snapshot.contents:
            return PeerUnavailable(detail='no such part')
        content = network.corrupt_parts.get(address, snapshot.contents[digest])
        network.part_bytes[reader] += len(content)
        return content

    async def exchange(
        address: str, heartbeat: Heartbeat
    ) -> Heartbeat | PeerUnavailable:
        daemon = await network.reach(failure_domain, address)
        if isinstance(daemon, PeerUnavailable) or daemon.exchange is None:
            return PeerUnavailable(detail=address)
        return await daemon.exchange(heartbeat)

    return DaemonPort(
        fetch_index=fetch_index, fetch_part=fetch_part, exchange=exchange
    )


def build_memory_agents(
    *, network: MemoryNetwork, failure_domain: str
) -> AgentPort:
    """Build the port to agents as a failure domain reaches them.

    Only heartbeats get through; attempts never reach an agent.
    """

    async def start(address: str, attempt: Attempt) -> AttemptOutcome:
        return AttemptUnreached(detail=f'{address}: {attempt.attempt}')

    async def bar(
        address: str, attempt: AttemptId, seconds: float
    ) -> AttemptReport | PeerUnavailable:
        return PeerUnavailable(detail=f'{address}: {attempt} {seconds}')

    async def heartbeat(
        address: str, heartbeat: Heartbeat
    ) -> TargetStatus | PeerUnavailable:
        daemon = await network.reach(failure_domain, address)
        if isinstance(daemon, PeerUnavailable) or daemon.heartbeat is None:
            return PeerUnavailable(detail=address)
        return await daemon.heartbeat(heartbeat)

    return AgentPort(start=start, bar=bar, heartbeat=heartbeat)


def make_rng(name: str) -> random.Random:
    """Make a random generator seeded with a daemon's name."""
    return random.Random(name)

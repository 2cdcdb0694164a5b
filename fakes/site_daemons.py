"""Assembly of the daemons of a small in-process site."""

import asyncio
import dataclasses
import random

from fakes.wire_ports import (
    WireEnd,
    build_agent_port,
    build_batcher_port,
    build_chunk_port,
    build_crasher_port,
    build_daemon_port,
)
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.engines.engine import Engine
from ragwortcourse.membership.hosts import HostListPort
from ragwortcourse.processes.agent_daemon import (
    AgentDaemon,
    AgentPorts,
    assemble_agent,
)
from ragwortcourse.processes.entry_daemon import (
    EntryDaemon,
    EntryPorts,
    assemble_entry,
)
from ragwortcourse.settings import Settings
from ragwortcourse.storage.objects import ObjectStore
from ragwortcourse.storage.table import TableService
from ragwortcourse.weights.origin import WeightOrigin


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformPorts:
    """Ports of one daemon to the platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostListPort
    origin: WeightOrigin


def build_site_entry(
    settings: Settings,
    end: WireEnd,
    ports: PlatformPorts,
    rng: random.Random,
) -> EntryDaemon:
    """Assemble an entry daemon on an in-process network."""
    store = ConfigurationStore(table=ports.table, objects=ports.objects)
    return assemble_entry(
        settings=settings,
        ports=EntryPorts(
            store=store,
            hosts=ports.hosts,
            agents=build_agent_port(end),
            daemons=build_daemon_port(end),
            send_to_batcher=build_batcher_port(end),
            send_crasher=build_crasher_port(end),
            relay_record=find_no_record,
        ),
        rng=rng,
        read_wall_clock=asyncio.get_running_loop().time,
    )


def build_site_agent(
    settings: Settings,
    end: WireEnd,
    ports: PlatformPorts,
    engine: Engine,
    rng: random.Random,
) -> AgentDaemon:
    """Assemble an agent on an in-process network."""
    return assemble_agent(
        settings=settings,
        ports=AgentPorts(
            engine=engine,
            table=ports.table,
            hosts=ports.hosts,
            origin=ports.origin,
            chunks=build_chunk_port(end),
            daemons=build_daemon_port(end),
        ),
        rng=rng,
    )


async def find_no_record(address: str, request: object) -> None:
    """Return no record, as no other daemon relays any."""

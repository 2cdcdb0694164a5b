"""Daemons of a small in-process site, put together over stand-ins."""

import asyncio
import dataclasses
import functools
import random

from fakes.wire_ports import (
    WireEnd,
    build_agent_port,
    build_chunk_port,
    build_daemon_port,
)
from ragwortcourse.agent.agent import Agent
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.engines.engine import Engine
from ragwortcourse.entry.entry import Entry
from ragwortcourse.entry.operator_state import Operators
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.membership.first_sight import FirstSight
from ragwortcourse.membership.membership import Membership
from ragwortcourse.membership.roster import Roster
from ragwortcourse.messages.operator import CrasherList
from ragwortcourse.platform.hosts import HostList
from ragwortcourse.platform.objects import ObjectStore
from ragwortcourse.platform.origin import WeightOrigin
from ragwortcourse.platform.table import TableService
from ragwortcourse.processes.agent_daemon import AgentDaemon
from ragwortcourse.processes.entry_daemon import EntryDaemon
from ragwortcourse.settings import Settings
from ragwortcourse.weights.landing import Landing
from ragwortcourse.weights.landing_ports import LandingPorts
from ragwortcourse.weights.neighbourhood import Neighbourhood
from ragwortcourse.weights.progress import describe_landing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformPorts:
    """One daemon's ways to the platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostList
    origin: WeightOrigin


def build_site_entry(
    settings: Settings,
    end: WireEnd,
    ports: PlatformPorts,
    rng: random.Random,
) -> EntryDaemon:
    """An entry daemon at its end of the wire."""
    entry = Entry(
        settings=settings,
        holder=ConfigurationHolder(),
        directory=TargetDirectory(),
        agent_port=build_agent_port(end),
        table=ports.table,
        rng=rng,
        read_wall=asyncio.get_running_loop().time,
    )
    membership = Membership(
        settings=settings,
        holder=entry.holder,
        directory=entry.directory,
        roster=Roster(settings=settings),
        hosts=ports.hosts,
        agent_port=entry.agent_port,
        daemon_port=build_daemon_port(end),
        rng=rng,
    )
    operators = Operators(
        settings=settings,
        holder=entry.holder,
        store=ConfigurationStore(table=ports.table, objects=ports.objects),
        membership=membership,
        find_record=entry.records.find,
        relay_record=find_no_record,
        list_crashers=lambda: CrasherList(crashers=()),
        release_crasher=lambda fingerprint: False,
    )
    return EntryDaemon(
        entry=entry,
        membership=membership,
        operators=operators,
        first_sight=FirstSight(directory=entry.directory),
    )


def build_site_agent(
    settings: Settings,
    end: WireEnd,
    ports: PlatformPorts,
    engine: Engine,
    rng: random.Random,
) -> AgentDaemon:
    """An agent at its end of the wire."""
    daemon_port = build_daemon_port(end)
    agent = Agent(
        settings=settings,
        holder=ConfigurationHolder(),
        engine=engine,
        daemon_port=daemon_port,
    )
    neighbourhood = Neighbourhood(settings=settings)
    landing = Landing(
        settings=settings,
        holder=agent.holder,
        served=agent.served,
        ports=LandingPorts(
            engine=engine,
            origin=ports.origin,
            chunk_port=build_chunk_port(end),
            neighbours=neighbourhood.list_peers,
            table=ports.table,
            count_running=agent.count_running,
            count_live=lambda: agent.gate.running,
        ),
        rng=rng,
    )
    agent.report_landing(functools.partial(describe_landing, landing))
    return AgentDaemon(
        agent=agent,
        landing=landing,
        neighbourhood=neighbourhood,
        hosts=ports.hosts,
        daemon_port=daemon_port,
    )


async def find_no_record(address: str, request: object) -> None:
    """No record from other daemons."""

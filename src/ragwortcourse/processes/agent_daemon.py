"""Assembly of an agent."""

import dataclasses
import functools
import random
from typing import Final

from aiohttp import web

from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.lifecycle import drain_agent, run_target_monitors
from ragwortcourse.agent.server import build_agent_routes
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.routes import build_configuration_routes
from ragwortcourse.engines.engine import Engine
from ragwortcourse.engines.http_engine import build_http_engine
from ragwortcourse.membership.hosts import HostListPort
from ragwortcourse.membership.http_daemons import build_http_daemons
from ragwortcourse.membership.http_hosts import build_http_hosts
from ragwortcourse.messages.peer_port import DaemonPort
from ragwortcourse.processes.sessions import Sessions
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.storage.http_table import build_http_table
from ragwortcourse.storage.table import TableService
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.agent_weights_ports import AgentWeightsPorts
from ragwortcourse.weights.http_origin import build_http_origin
from ragwortcourse.weights.http_peers import build_http_peers
from ragwortcourse.weights.origin import WeightOrigin
from ragwortcourse.weights.peer_directory import PeerDirectory, follow_hosts
from ragwortcourse.weights.peer_port import ChunkPort
from ragwortcourse.weights.progress import describe_progress
from ragwortcourse.weights.reconciliation import run_reconciliation
from ragwortcourse.weights.routes import build_weight_routes

LAST_CONNECTIONS_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentDaemon:
    """Components of one agent."""

    agent: Agent
    agent_weights: AgentWeights
    directory: PeerDirectory
    hosts: HostListPort | None
    daemon_port: DaemonPort

    @property
    def last_connections_seconds(self) -> float:
        """Return how long sockets stay open so that others see "not ready"."""
        return LAST_CONNECTIONS_SECONDS

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other daemons."""
        return [
            *build_agent_routes(agent=self.agent, daemon_port=self.daemon_port),
            *build_configuration_routes(holder=self.agent.holder),
            *build_weight_routes(agent_weights=self.agent_weights),
        ]

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Do nothing: this role has no settings of a fleet."""

    def start(self, tasks: SupervisedTasks) -> None:
        """Start the tasks for the target, its weights and the list of hosts."""
        tasks.start('watch target', run_target_monitors(self.agent))
        if self.agent.agent_settings.is_model_engine:
            tasks.start('land weights', run_reconciliation(self.agent_weights))
        if self.hosts is not None:
            tasks.start(
                'follow hosts',
                follow_hosts(
                    directory=self.directory,
                    hosts=self.hosts,
                    rng=self.agent_weights.rng,
                ),
            )

    def find_unready_reason(self) -> str | None:
        """Return why no new work is accepted; none if it is accepted."""
        closed = self.agent.find_admission_refusal()
        return None if closed is None else closed.code

    async def drain(self) -> None:
        """Wait until all requests in progress have ended."""
        await drain_agent(self.agent)

    async def stop(self) -> None:
        """Release resources other than the background tasks."""
        await self.agent.stop()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentPorts:
    """Ports of an agent to other services and daemons.

    :param hosts: list of hosts; none if the platform has no such list.
    """

    engine: Engine
    table: TableService
    hosts: HostListPort | None
    origin: WeightOrigin
    chunks: ChunkPort
    daemons: DaemonPort


def build_agent_daemon(
    *, settings: Settings, sessions: Sessions
) -> AgentDaemon:
    """Build an agent that uses HTTP, without starting its tasks.

    :raises ValueError: the settings have no ``[agent]`` section.
    """
    if settings.agent is None:
        raise ValueError('settings: [agent] is missing')
    platform = settings.platform
    session = sessions.plain
    ports = AgentPorts(
        engine=build_http_engine(
            session=sessions.targets, base_url=settings.agent.target_url
        ),
        table=build_http_table(session=session, base_url=platform.table),
        hosts=(
            build_http_hosts(session=session, base_url=platform.hosts)
            if platform.hosts
            else None
        ),
        origin=build_http_origin(session=session, base_url=platform.origin),
        chunks=build_http_peers(session=session),
        daemons=build_http_daemons(session=session),
    )
    rng = random.Random()  # noqa: S311  # load spreading, not security
    return assemble_agent(settings=settings, ports=ports, rng=rng)


def assemble_agent(
    *, settings: Settings, ports: AgentPorts, rng: random.Random
) -> AgentDaemon:
    """Assemble an agent from its ports, without starting its tasks."""
    agent = Agent(
        settings=settings,
        holder=ConfigurationHolder(with_accounts=False),
        engine=ports.engine,
        daemon_port=ports.daemons,
    )
    directory = PeerDirectory(settings=settings)
    agent_weights = AgentWeights(
        settings=settings,
        holder=agent.holder,
        served=agent.served,
        ports=AgentWeightsPorts(
            engine=ports.engine,
            origin=ports.origin,
            chunk_port=ports.chunks,
            list_peers=directory.list_peers,
            table=ports.table,
            count_running=agent.count_running,
            count_live=lambda: agent.gate.running,
        ),
        rng=rng,
    )
    agent.set_transfer_progress_reader(
        functools.partial(describe_progress, agent_weights)
    )
    return AgentDaemon(
        agent=agent,
        agent_weights=agent_weights,
        directory=directory,
        hosts=ports.hosts,
        daemon_port=ports.daemons,
    )

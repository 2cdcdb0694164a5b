"""Assembly of an entry daemon."""

import dataclasses
import random
import time
from collections.abc import Callable
from typing import Final

from aiohttp import web

from ragwortcourse.configuration.feed import follow_head
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.part_fallback import (
    build_daemons_with_fallback,
)
from ragwortcourse.configuration.routes import build_configuration_routes
from ragwortcourse.configuration.settlement import persist_withdrawals
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.entry.callers import build_caller_routes
from ragwortcourse.entry.claim_batch_router import (
    ClaimBatchRouter,
    SendToBatcher,
    build_claim_routes,
    build_http_batcher_client,
)
from ragwortcourse.entry.crasher_peers import (
    SendCrasher,
    build_crasher_broadcast,
    build_crasher_routes,
    build_http_crasher_client,
)
from ragwortcourse.entry.crasher_sync import sync_crashers
from ragwortcourse.entry.entry import EntryState, drain_entry, stop_entry
from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.entry.operator_state import OperatorContext, RecordRelay
from ragwortcourse.entry.operators import build_operator_routes
from ragwortcourse.entry.record_relay import (
    build_record_relay,
    build_record_routes,
)
from ragwortcourse.entry.status_poller import StatusPoller
from ragwortcourse.membership.directory import TargetDirectory
from ragwortcourse.membership.exchange import exchange_with_peers
from ragwortcourse.membership.hosts import HostListPort
from ragwortcourse.membership.http_daemons import build_http_daemons
from ragwortcourse.membership.http_hosts import build_http_hosts
from ragwortcourse.membership.initial_discovery import InitialDiscovery
from ragwortcourse.membership.membership import Membership
from ragwortcourse.membership.passive_observation import build_observed_agents
from ragwortcourse.membership.roster import Roster
from ragwortcourse.membership.routes import build_exchange_routes
from ragwortcourse.membership.watch import watch_targets
from ragwortcourse.messages.peer_port import AgentPort, DaemonPort
from ragwortcourse.processes.sessions import Sessions
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.storage.http_objects import build_http_objects
from ragwortcourse.storage.http_table import build_http_table

NO_CONFIGURATION: Final = 'no configuration yet'
NO_TARGETS: Final = 'targets not seen yet'
DRAINING: Final = 'draining'
LAST_CONNECTIONS_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryDaemon:
    """Components of one entry daemon."""

    entry: EntryState
    membership: Membership
    operators: OperatorContext
    initial_discovery: InitialDiscovery

    @property
    def caller_routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' port."""
        return build_caller_routes(entry=self.entry)

    @property
    def operator_routes(self) -> list[web.RouteDef]:
        """Return the routes of the operators' port."""
        return build_operator_routes(operators=self.operators)

    @property
    def last_connections_seconds(self) -> float:
        """Return how long sockets stay open so that others see "not ready"."""
        return LAST_CONNECTIONS_SECONDS

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other daemons."""
        return [
            *build_configuration_routes(holder=self.entry.holder),
            *build_exchange_routes(membership=self.membership),
            *build_record_routes(find_record=self.entry.records.find),
            *build_claim_routes(batcher=self.entry.claim_batcher),
            *build_crasher_routes(crashers=self.entry.crashers),
        ]

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Do nothing: this role has no settings of a fleet."""

    def start(self, tasks: SupervisedTasks) -> None:
        """Start the tasks for configuration, targets and peers."""
        store = self.operators.store
        tasks.start(
            'follow head',
            follow_head(
                holder=self.entry.holder,
                table=store.table,
                objects=store.objects,
                rng=self.entry.rng,
            ),
        )
        tasks.start('spread crashers', sync_crashers(self.entry))
        tasks.start('watch targets', watch_targets(self.membership))
        tasks.start(
            'follow withdrawals',
            persist_withdrawals(
                holder=self.entry.holder, store=store, rng=self.entry.rng
            ),
        )
        tasks.start('exchange', exchange_with_peers(self.membership))

    def find_unready_reason(self) -> str | None:
        """Return why no new work is accepted; none if it is accepted."""
        if self.entry.draining:
            return DRAINING
        if self.entry.holder.document is None:
            return NO_CONFIGURATION
        if not self.initial_discovery.has_completed():
            return NO_TARGETS
        return None

    async def drain(self) -> None:
        """Wait until all requests in progress have ended."""
        await drain_entry(self.entry)

    async def stop(self) -> None:
        """Release resources other than the background tasks."""
        await stop_entry(self.entry)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryPorts:
    """Ports of an entry daemon to other services and daemons.

    :param hosts: list of hosts; none if the platform has no such list.
    :param send_to_batcher: function that sends a claim to the daemon that
        collects claims into batches.
    :param send_crasher: function that reports a crashing request to another
        daemon.
    :param relay_record: function that reads the record of a request from
        another daemon.
    """

    store: ConfigurationStore
    hosts: HostListPort | None
    agents: AgentPort
    daemons: DaemonPort
    send_to_batcher: SendToBatcher
    send_crasher: SendCrasher
    relay_record: RecordRelay


def build_entry_daemon(
    *, settings: Settings, sessions: Sessions
) -> EntryDaemon:
    """Build an entry daemon that uses HTTP, without starting its tasks."""
    platform = settings.platform
    session = sessions.plain
    ports = EntryPorts(
        store=ConfigurationStore(
            table=build_http_table(session=session, base_url=platform.table),
            objects=build_http_objects(
                session=session, base_url=platform.objects
            ),
        ),
        hosts=(
            build_http_hosts(session=session, base_url=platform.hosts)
            if platform.hosts
            else None
        ),
        agents=build_http_agents(session=sessions.relay),
        daemons=build_http_daemons(session=session),
        send_to_batcher=build_http_batcher_client(session=session),
        send_crasher=build_http_crasher_client(session=session),
        relay_record=build_record_relay(session=session),
    )
    rng = random.Random()  # noqa: S311  # load spreading, not security
    return assemble_entry(settings=settings, ports=ports, rng=rng)


def assemble_entry(
    *,
    settings: Settings,
    ports: EntryPorts,
    rng: random.Random,
    read_wall_clock: Callable[[], float] = time.time,
) -> EntryDaemon:
    """Assemble an entry daemon from its ports, without starting its tasks.

    :param read_wall_clock: wall clock, in seconds since the epoch.
    """
    entry = EntryState(
        settings=settings,
        holder=ConfigurationHolder(),
        directory=TargetDirectory(),
        agent_port=ports.agents,
        table=ports.store.table,
        rng=rng,
        read_wall_clock=read_wall_clock,
    )
    membership = Membership(
        settings=settings,
        holder=entry.holder,
        directory=entry.directory,
        roster=Roster(settings=settings),
        hosts=ports.hosts,
        agent_port=ports.agents,
        daemon_port=build_daemons_with_fallback(
            port=ports.daemons,
            objects=ports.store.objects,
            holder=entry.holder,
        ),
        rng=rng,
    )
    entry.claim_batch_router = ClaimBatchRouter(
        daemon=settings.daemon,
        failure_domain=settings.failure_domain,
        batcher=entry.claim_batcher,
        list_peers=lambda: membership.roster.entry_daemons,
        send=ports.send_to_batcher,
    )
    entry.broadcast_crasher = build_crasher_broadcast(
        send=ports.send_crasher,
        list_addresses=lambda: membership.roster.peers.values(),
    )
    entry.agent_port = build_observed_agents(membership)
    operators = OperatorContext(
        settings=settings,
        holder=entry.holder,
        store=ports.store,
        membership=membership,
        status_poller=StatusPoller(membership=membership),
        find_record=entry.records.find,
        relay_record=ports.relay_record,
        list_crashers=entry.crashers.list_crashers,
        release_crasher=entry.crashers.release,
    )
    return EntryDaemon(
        entry=entry,
        membership=membership,
        operators=operators,
        initial_discovery=InitialDiscovery(directory=entry.directory),
    )

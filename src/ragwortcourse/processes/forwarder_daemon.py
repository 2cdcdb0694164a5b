"""Assembly of a forwarder."""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from aiohttp import ClientSession, web

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import Forwarder, read_fleet_settings
from ragwortcourse.forwarding.gauges import watch_forwarder
from ragwortcourse.forwarding.load_exchange import (
    exchange_loads,
)
from ragwortcourse.forwarding.permission import is_superseded
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.identifiers import ModelName
from ragwortcourse.membership.relay_daemons import describe_daemon
from ragwortcourse.platform import names
from ragwortcourse.platform.crash_rows import CrashKeeper
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.fleet_tables import (
    FleetTables,
    build_fleet_tables,
)
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relay_rows import RelayRegistry, keep_registered
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.platform.target_reader import build_target_handler
from ragwortcourse.platform.weight_source import build_weight_downloader
from ragwortcourse.platform.wire import build_wire_format
from ragwortcourse.processes.sessions import open_daemon_session
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.weights.chunk_cache import ChunkCache
from ragwortcourse.weights.chunk_routes import build_chunk_routes
from ragwortcourse.weights.manifest_routes import build_manifest_routes
from ragwortcourse.weights.planning.loader_demand import LoaderDemand
from ragwortcourse.weights.relay_downloader import RelayDownloader, build_cache

# Longest wait of one long poll to the store. While the store answers, the
# desired state known to a daemon is at most two such calls old.
OPERATORS_FEED_SECONDS: Final = 0.7
# Longest wait of a long poll to a daemon of the same failure domain.
OPERATORS_PEER_SECONDS: Final = 0.5
# The pause merges desired states that follow each other quickly: each state
# is transferred whole, over a narrow link to the store's region.
OPERATORS_PAUSE_SECONDS: Final = 0.35
# A long poll returns at once on a change; a longer wait means fewer calls.
TARGETS_FEED_SECONDS: Final = 4.0
# The pause merges the registrations of targets that start together.
TARGETS_PAUSE_SECONDS: Final = 0.25
# Less than the time for which missing targets are kept after a restore.
TARGETS_SPREAD_SECONDS: Final = 1.0
# Age of the desired state above which the daemon reports not ready. While
# the store answers, the state is at most two calls and the pause between them
# old. Callers should move to other daemons before the state is too old for
# serving keys here.
UNCONFIRMED_SECONDS: Final = 3.2
# Time after SIGTERM in which requests are still served. The platform removes
# a daemon after two failed checks, one second apart. Requests that are sent
# later than 3 s after SIGTERM may not be cut, and a busy daemon handles the
# signal some tenths of a second late.
SERVING_SECONDS: Final = 2.5
# Part of the grace time that is left for the last answers and the exit of the
# process. Requests still in progress may be cut in its last sixth only.
EXIT_SECONDS: Final = 1.5
EXIT_SHARE: Final = 0.3
DRAIN_POLL_SECONDS: Final = 0.05
DRAINING: Final = 'draining'
NO_STATE: Final = 'desired state not read yet'
SUPERSEDED: Final = 'other daemons have a newer desired state'
UNCONFIRMED: Final = 'desired state not confirmed of late'
NO_TARGETS: Final = 'targets not read yet'


@dataclasses.dataclass(slots=True, kw_only=True)
class ForwarderDaemon:
    """Components of one forwarder."""

    forwarder: Forwarder
    cache: ChunkCache
    demand: LoaderDemand
    tables: FleetTables
    register: Callable[[], Coroutine[Any, Any, None]]
    crash_keeper: CrashKeeper
    feeds: tuple[TableFeed, ...]
    sessions: tuple[ClientSession, ...]
    draining: bool = False

    @property
    def last_connections_seconds(self) -> float:
        """Return zero: connections are served during the drain."""
        return 0

    @property
    def caller_routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' port."""
        return build_call_routes(self.forwarder)

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other daemons."""
        return [
            *build_chunk_routes(
                self.cache.find,
                note_gone=self.cache.note_gone,
                note_asked=self.demand.note,
            ),
            *build_manifest_routes(self.cache.find_manifest),
            *self.tables.routes,
        ]

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Apply changed settings of the fleet."""
        self.forwarder.fleet = fleet

    def start(self, tasks: SupervisedTasks) -> None:
        """Start the background tasks."""
        watch_forwarder(self.forwarder)
        for index, feed in enumerate(self.feeds):
            tasks.start(f'follow table {index}', feed.follow())
        tasks.start('register', self._register())
        tasks.start('keep refused suspects', self.crash_keeper.run())
        relays = self.tables.relays
        tasks.start('follow daemons', relays.follow(self.tables.registrations))
        tasks.start(
            'draw ahead', self.cache.prefetch_deployed(self._list_named)
        )
        tasks.start(
            'keep manifests',
            self.cache.manifests.keep(self.demand.list_in_service),
        )
        tasks.start(
            'exchange loads',
            exchange_loads(forwarder=self.forwarder, list_relays=relays.list),
        )

    def find_unready_reason(self) -> str | None:
        """Return why no new work is accepted; none if it is accepted."""
        state = self.forwarder.state
        if self.draining:
            return DRAINING
        if state.desired is None:
            return NO_STATE
        if not state.targets_known:
            return NO_TARGETS
        if state.read_age() > UNCONFIRMED_SECONDS:
            return UNCONFIRMED
        if is_superseded(state, self.forwarder.fleet):
            return SUPERSEDED
        return None

    async def drain(self) -> None:
        """Wait until all requests have ended or the grace time is over.

        The platform routes callers here for some more seconds, and callers
        have open connections. Requests are therefore served at first and
        refused afterwards, so that callers use another daemon.
        """
        self.draining = True
        grace = self.forwarder.fleet.grace_seconds
        ends_at = read_clock() + grace - min(EXIT_SECONDS, grace * EXIT_SHARE)
        await asyncio.sleep(min(SERVING_SECONDS, grace / 2))
        self.forwarder.close(ends_at=ends_at)
        while read_clock() < ends_at and self.forwarder.running:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        """Answer what is in progress, and release resources."""
        await self.forwarder.end_work()
        await self.cache.stop()
        for session in self.sessions:
            await session.close()

    async def _register(self) -> None:
        """Register this daemon, once it is known whether one was before.

        Registrations do not end, so that a predecessor may have run until now.
        """
        relays = self.tables.relays
        await relays.wait_read()
        if self.forwarder.settings.daemon in relays.first_read:
            self.forwarder.safeguards.retry_budget.note_predecessor()
        await self.register()

    def _list_named(self) -> list[tuple[ModelName, int]]:
        """Return the newest version that operators named for each model."""
        weights = self.forwarder.state.weights
        return [(model, named[-1].version) for model, named in weights.items()]


def build_forwarder_daemon(*, settings: Settings) -> ForwarderDaemon:
    """Build a forwarder that uses HTTP, without starting its tasks.

    :raises ValueError: the settings have no ``[fleet]`` section.
    """
    fleet = read_fleet_settings(settings)
    rng = random.Random()  # noqa: S311  # load spreading, not security
    state = FleetState()
    session = open_daemon_session()
    target_session = open_target_session()
    store_session = open_store_session()
    tables = build_fleet_tables(
        settings=settings,
        session=session,
        store_session=store_session,
        rng=rng,
        peer_wait=OPERATORS_PEER_SECONDS,
    )
    forwarder = Forwarder(
        settings=settings,
        state=state,
        wire=build_wire_format(),
        session=target_session,
        rng=rng,
    )
    demand = LoaderDemand(state=state)
    return ForwarderDaemon(
        forwarder=forwarder,
        cache=build_cache(
            downloader=_build_downloader(
                forwarder, session, tables.relays, demand
            ),
            demand=demand,
        ),
        demand=demand,
        tables=tables,
        register=functools.partial(
            keep_registered, tables.store, describe_daemon(settings), rng
        ),
        crash_keeper=CrashKeeper(
            store=tables.store, guard=forwarder.safeguards.crash_guard
        ),
        feeds=(
            TableFeed(
                store=tables.operators,
                table=names.OPERATORS_TABLE,
                wait=OPERATORS_FEED_SECONDS,
                pause=OPERATORS_PAUSE_SECONDS,
                handler=build_operator_handler(state, fleet),
                rng=rng,
            ),
            TableFeed(
                store=tables.targets,
                table=names.TARGETS_TABLE,
                wait=TARGETS_FEED_SECONDS,
                pause=TARGETS_PAUSE_SECONDS,
                spread=TARGETS_SPREAD_SECONDS,
                handler=build_target_handler(
                    TargetList(
                        state=state,
                        notify=forwarder.note_listed,
                        contact_seconds=fleet.contact_ms / 1000,
                    ),
                    fleet.failure_domains,
                ),
                rng=rng,
            ),
        ),
        sessions=(session, store_session, target_session),
    )


def _build_downloader(
    forwarder: Forwarder,
    session: ClientSession,
    relays: RelayRegistry,
    demand: LoaderDemand,
) -> RelayDownloader:
    own = forwarder.settings.daemon
    return RelayDownloader(
        settings=forwarder.settings,
        downloader=build_weight_downloader(
            session=session, state=forwarder.state, demand=demand
        ),
        list_relays=relays.list,
        rng=forwarder.rng,
        is_alive=lambda daemon: (
            daemon == own or forwarder.store_watch.has_reported(daemon)
        ),
    )

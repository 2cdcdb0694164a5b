"""Assembly of a loader."""

import dataclasses
import functools
import random
from typing import Final

from aiohttp import ClientSession, web

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import read_fleet_settings
from ragwortcourse.forwarding.switch_notice import build_announcement
from ragwortcourse.platform import names
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.fleet_tables import (
    FleetTables,
    build_fleet_tables,
)
from ragwortcourse.platform.kept_reads import KeptReads
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.platform.target_reader import read_service
from ragwortcourse.platform.weight_source import build_weight_downloader
from ragwortcourse.processes.sessions import (
    open_daemon_session,
    open_read_session,
    open_single_use_session,
)
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.weights.chunk_routes import build_chunk_routes
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.loader_sources import LoaderSources
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.manifest_routes import build_manifest_routes
from ragwortcourse.weights.planning.held_manifest import HeldManifest
from ragwortcourse.weights.version_drawing import download_versions

# A loader acts only on changes; a longer wait means fewer calls.
LONG_POLL_SECONDS: Final = 4.0
# Longest wait of a long poll to a daemon of the failure domain. Such a call
# leaves out routes and client accounts, and costs less than one to the store.
PEER_SECONDS: Final = 2.0
# Pause between long polls: a loader has seconds to load a version, and each
# desired state is transferred whole over the narrow link of the loader's host.
PAUSE_SECONDS: Final = 1.0
ENGINE_SILENT: Final = 'engine does not answer'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderDaemon:
    """Components of one loader."""

    loader_weights: LoaderWeights
    held_manifest: HeldManifest
    feed: TableFeed
    tables: FleetTables
    sessions: tuple[ClientSession | KeptReads, ...]

    @property
    def last_connections_seconds(self) -> float:
        """Return zero: other daemons can download from other sources."""
        return 0

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes of the port for other daemons."""
        return [
            *build_chunk_routes(
                self.loader_weights.find_chunk,
                link_rate=self.loader_weights.link_rate,
            ),
            *build_manifest_routes(self.held_manifest.find),
        ]

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Apply changed settings of the fleet."""
        self.loader_weights.fleet = fleet

    def start(self, tasks: SupervisedTasks) -> None:
        """Start the background tasks."""
        relays = self.tables.relays
        tasks.start('follow daemons', relays.follow(self.tables.registrations))
        tasks.start('follow operators', self.feed.follow())
        tasks.start('draw weights', download_versions(self.loader_weights))
        tasks.start('switch engine', switch_engine(self.loader_weights))
        tasks.start('keep manifest', self.held_manifest.keep())

    def find_unready_reason(self) -> str | None:
        """Return why no version can be loaded; none if it can be."""
        return None if self.loader_weights.report else ENGINE_SILENT

    async def drain(self) -> None:
        """Return at once: a loader serves no requests of callers."""

    async def stop(self) -> None:
        """Release resources other than the background tasks."""
        for session in self.sessions:
            await session.close()


def build_loader_daemon(*, settings: Settings) -> LoaderDaemon:
    """Build a loader that uses HTTP, without starting its tasks.

    :raises ValueError: the settings have no ``[loader]`` or no ``[fleet]``
        section.
    """
    fleet = read_fleet_settings(settings)
    if settings.loader is None:
        raise ValueError(f'{settings.daemon}: settings without [loader]')
    session = open_daemon_session()
    store_session = open_store_session()
    engine_session = open_single_use_session()
    reads = KeptReads(open_session=open_read_session)
    state = FleetState()
    rng = random.Random()  # noqa: S311  # load spreading, not security
    tables = build_fleet_tables(
        settings=settings,
        session=session,
        store_session=store_session,
        rng=rng,
        peer_wait=PEER_SECONDS,
        services_only=True,
    )
    sources = LoaderSources(
        downloader=build_weight_downloader(session=session, state=state),
        domain=settings.failure_domain,
        list_relays=tables.relays.list,
    )
    loader_weights = LoaderWeights(
        fleet=fleet,
        loader=settings.loader,
        state=state,
        ports=LoaderWeightsPorts(
            engine=Engine(
                session=engine_session,
                reports=session,
                reads=reads,
                address=settings.loader.engine,
            ),
            read_manifest=sources.read_manifest,
            download_chunk=sources.download_chunk,
            announce=build_announcement(list_relays=tables.relays.list),
            list_service=functools.partial(
                read_service, tables.targets, settings.loader.service, fleet
            ),
        ),
    )
    return LoaderDaemon(
        loader_weights=loader_weights,
        held_manifest=HeldManifest(loader_weights=loader_weights),
        feed=TableFeed(
            store=tables.operators,
            table=names.OPERATORS_TABLE,
            wait=LONG_POLL_SECONDS,
            pause=PAUSE_SECONDS,
            handler=build_operator_handler(state, fleet),
            rng=rng,
        ),
        tables=tables,
        sessions=(session, store_session, engine_session, reads),
    )

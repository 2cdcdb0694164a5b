"""A loader, put together."""

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
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relay_rows import RelayRegistry
from ragwortcourse.platform.relayed_store import RelayedStore
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.platform.target_reader import read_service
from ragwortcourse.platform.weight_source import build_weight_fetcher
from ragwortcourse.processes.tasks import SupervisedTasks
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.weights.chunk_routes import build_chunk_routes
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.loader_sources import LoaderSources
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.version_drawing import download_versions

# A loader acts on changes alone; a call that waits longer costs less.
LONG_POLL_SECONDS: Final = 4.0
# A daemon near by is asked for less and costs less than the store.
PEER_SECONDS: Final = 2.0
# A loader has seconds for a version; desired states come whole over the
# narrow link of its host.
PAUSE_SECONDS: Final = 1.0
ENGINE_SILENT: Final = 'engine does not answer'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderDaemon:
    """The parts of one loader that others reach into."""

    loading: LoaderWeights
    feed: TableFeed
    relays: RelayRegistry
    sessions: tuple[ClientSession, ...]

    @property
    def last_connections_seconds(self) -> float:
        """None: others draw from elsewhere."""
        return 0

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Routes of the port for other daemons."""
        return build_chunk_routes(
            self.loading.find_chunk, link_rate=self.loading.link_rate
        )

    def apply_fleet_settings(self, fleet: FleetSettings) -> None:
        """Take other bounds over."""
        self.loading.fleet = fleet

    def start(self, tasks: SupervisedTasks) -> None:
        """Run the endless tasks."""
        tasks.start('follow daemons', self.relays.follow())
        tasks.start('follow operators', self.feed.follow())
        tasks.start('draw weights', download_versions(self.loading))
        tasks.start('switch engine', switch_engine(self.loading))

    def find_unready_reason(self) -> str | None:
        """Why nothing is loaded now, none if it could be."""
        return None if self.loading.report else ENGINE_SILENT

    async def drain(self) -> None:
        """Return at once: no request of a caller is under way here."""

    async def stop(self) -> None:
        """End what runs beside the endless tasks."""
        for session in self.sessions:
            await session.close()


def build_loader_daemon(*, settings: Settings) -> LoaderDaemon:
    """A loader that reaches others by HTTP; nothing runs yet.

    :raises ValueError: the settings have no ``[loader]`` or ``[fleet]``.
    """
    fleet = read_fleet_settings(settings)
    if settings.loader is None:
        raise ValueError(f'{settings.daemon}: settings without [loader]')
    loader = settings.loader
    session = ClientSession()
    store_session = open_store_session()
    store = Store(session=store_session, address=fleet.store)
    state = FleetState()
    relays = RelayRegistry(store=store)
    sources = LoaderSources(
        drawing=build_weight_fetcher(session=session, state=state),
        domain=settings.failure_domain,
        list_relays=relays.list,
    )
    ports = LoaderWeightsPorts(
        engine=Engine(session=session, address=loader.engine),
        read_manifest=sources.read_manifest,
        draw=sources.draw,
        announce=build_announcement(list_relays=relays.list),
        list_service=functools.partial(
            read_service, store, loader.service, fleet
        ),
    )
    return LoaderDaemon(
        loading=LoaderWeights(
            fleet=fleet, loader=loader, state=state, ports=ports
        ),
        feed=TableFeed(
            store=RelayedStore(
                store=store,
                session=session,
                list_upstreams=relays.build_upstream_lister(
                    own=settings.daemon, domain=settings.failure_domain
                ),
                peer_wait=PEER_SECONDS,
                services_only=True,
            ),
            table=names.OPERATORS_TABLE,
            wait=LONG_POLL_SECONDS,
            pause=PAUSE_SECONDS,
            reader=build_operator_handler(state, fleet),
            rng=random.Random(),  # noqa: S311  # spreads load, guards nothing
        ),
        relays=relays,
        sessions=(session, store_session),
    )

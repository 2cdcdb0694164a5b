"""A loader, put together."""

import dataclasses
import random
from typing import Final

import aiohttp
from aiohttp import web

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import read_fleet_settings
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.platform import names
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.operator_rows import build_operator_reader
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.target_reader import build_target_reader
from ragwortcourse.platform.weight_source import WeightSource
from ragwortcourse.processes.tasks import BackgroundTasks
from ragwortcourse.settings import Settings
from ragwortcourse.weights.chunk_routes import build_chunk_routes
from ragwortcourse.weights.engine_loading import EngineLoading

# A loader acts on changes alone; a call that waits longer costs less.
FEED_SECONDS: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderDaemon:
    """The parts of one loader that others reach into."""

    loading: EngineLoading
    feeds: tuple[TableFeed, ...]
    session: aiohttp.ClientSession

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Routes of the port for other daemons."""
        return build_chunk_routes(self.loading.find_chunk)

    def start(self, tasks: BackgroundTasks) -> None:
        """Run the endless tasks."""
        for index, feed in enumerate(self.feeds):
            tasks.start(f'follow table {index}', feed.follow())
        tasks.start('load engine', self.loading.run())

    def find_obstacle(self) -> str | None:
        """None: a loader takes no work of callers."""
        return None

    async def drain(self) -> None:
        """Return at once: no request of a caller is under way here."""

    async def stop(self) -> None:
        """End what runs beside the endless tasks."""
        await self.session.close()


def build_loader_daemon(*, settings: Settings) -> LoaderDaemon:
    """A loader that reaches others by HTTP; nothing runs yet.

    :raises ValueError: the settings have no ``[loader]`` or ``[fleet]``.
    """
    fleet = read_fleet_settings(settings)
    if settings.loader is None:
        raise ValueError(f'{settings.daemon}: settings without [loader]')
    session = aiohttp.ClientSession()
    store = Store(session=session, address=fleet.store)
    state = FleetState()
    rng = random.Random()  # noqa: S311  # spreads load, guards nothing
    readers = {
        names.OPERATORS_TABLE: build_operator_reader(state),
        names.TARGETS_TABLE: build_target_reader(
            TargetList(state=state), fleet.failure_domains
        ),
    }
    return LoaderDaemon(
        loading=EngineLoading(
            settings=settings,
            loader=settings.loader,
            state=state,
            engine=Engine(session=session, address=settings.loader.engine),
            origin=WeightSource(session=session),
            session=session,
        ),
        feeds=tuple(
            TableFeed(
                store=store,
                table=table,
                wait=FEED_SECONDS,
                reader=reader,
                rng=rng,
            )
            for table, reader in readers.items()
        ),
        session=session,
    )

"""An entry daemon that sends straight to targets, put together."""

import asyncio
import dataclasses
import random
from typing import Final

import aiohttp
from aiohttp import web

from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import Forwarder, read_fleet_settings
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed, TableReader
from ragwortcourse.platform.operator_rows import build_operator_reader
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.target_reader import build_target_reader
from ragwortcourse.platform.wire import build_wire_format
from ragwortcourse.processes.tasks import BackgroundTasks
from ragwortcourse.settings import Settings

# One call to the store waits for a change no longer than this: what a
# daemon knows is no older while the store answers.
FEED_SECONDS: Final = 1.0
DRAIN_POLL_SECONDS: Final = 0.05
DRAINING: Final = 'draining'
NO_STATE: Final = 'desired state not read yet'
NO_TARGETS: Final = 'targets not read yet'


@dataclasses.dataclass(slots=True, kw_only=True)
class ForwarderDaemon:
    """The parts of one forwarder that others reach into."""

    forwarder: Forwarder
    feeds: tuple[TableFeed, ...]
    sessions: tuple[aiohttp.ClientSession, ...]
    draining: bool = False

    @property
    def caller_routes(self) -> list[web.RouteDef]:
        """Routes of the callers' port."""
        return build_call_routes(self.forwarder)

    @property
    def peer_routes(self) -> list[web.RouteDef]:
        """Routes of the port for other daemons."""
        return []

    def start(self, tasks: BackgroundTasks) -> None:
        """Run the endless tasks."""
        for index, feed in enumerate(self.feeds):
            tasks.start(f'follow table {index}', feed.follow())

    def find_obstacle(self) -> str | None:
        """Why no work is taken now, none if it is."""
        state = self.forwarder.state
        if self.draining:
            return DRAINING
        if state.desired is None:
            return NO_STATE
        if not state.targets_known:
            return NO_TARGETS
        return None

    async def drain(self) -> None:
        """Return once everything under way has ended."""
        self.draining = True
        while self.forwarder.running:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        """End what runs beside the endless tasks."""
        for session in self.sessions:
            await session.close()


def build_forwarder_daemon(*, settings: Settings) -> ForwarderDaemon:
    """A forwarder that reaches store and targets by HTTP; nothing runs yet.

    :raises ValueError: the settings have no ``[fleet]`` part.
    """
    fleet = read_fleet_settings(settings)
    rng = random.Random()  # noqa: S311  # spreads load, guards nothing
    state = FleetState()
    targets = TargetList(state=state)
    store_session = aiohttp.ClientSession()
    target_session = open_target_session()
    store = Store(session=store_session, address=fleet.store)

    def build_feed(table: str, reader: TableReader) -> TableFeed:
        return TableFeed(
            store=store,
            table=table,
            wait=FEED_SECONDS,
            reader=reader,
            rng=rng,
        )

    return ForwarderDaemon(
        forwarder=Forwarder(
            settings=settings,
            state=state,
            wire=build_wire_format(),
            session=target_session,
            rng=rng,
        ),
        feeds=(
            build_feed(names.OPERATORS_TABLE, build_operator_reader(state)),
            build_feed(
                names.TARGETS_TABLE,
                build_target_reader(targets, fleet.failure_domains),
            ),
        ),
        sessions=(store_session, target_session),
    )

"""Daemons of one failure domain that read the operators' rows."""

import asyncio
import contextlib
import random

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.conditions import wait_for
from fakes.fleet_parts import FLEET
from fakes.fleet_store import FleetStore
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.membership.readers import MAX_READERS
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relayed_store import RelayedStore
from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.store import Store

DAEMONS = 4
FEED_SECONDS = 0.3
PEER_SECONDS = 0.2
# Shorter than the time that a fleet grants; tests wait for its end.
HOLD_SECONDS = 1.5


class RowDomain:
    """Daemons of one failure domain; each asks those started before.

    :param hold_seconds: time for which daemons keep rows lost in a restore.
    :ivar states: state of each daemon.
    :ivar sources: row source of each daemon.
    """

    def __init__(self, *, hold_seconds: float = HOLD_SECONDS) -> None:
        self._hold_seconds = hold_seconds
        self.fake = FleetStore()
        self.states: list[FleetState] = []
        self.caches: list[RowCache] = []
        self.sources: list[RelayedStore] = []
        self.stack = contextlib.AsyncExitStack()
        self.servers: list[TestServer] = []
        self.rng = random.Random(1)

    async def open(self, *, services_only: bool = False) -> None:
        """Start the fake store and the daemons."""
        server = TestServer(self.fake.build_app())
        await server.start_server()
        self.stack.push_async_callback(server.close)
        self.session = await self.stack.enter_async_context(ClientSession())
        self.address = f'127.0.0.1:{server.port}'
        for _ in range(DAEMONS):
            await self.start_daemon(services_only=services_only)

    async def start_daemon(self, *, services_only: bool = False) -> None:
        """Start one more daemon."""
        self.states.append(FleetState())
        store = Store(session=self.session, address=self.address)
        await self._start(store, services_only=services_only)

    async def _start(self, store: Store, *, services_only: bool) -> None:
        number = len(self.servers)
        before = [f'127.0.0.1:{each.port}' for each in self.servers]

        async def list_before() -> list[str]:
            return before[:MAX_READERS]

        source = RelayedStore(
            store=store,
            session=self.session,
            list_upstreams=list_before,
            peer_wait=PEER_SECONDS,
            hold=RestoreHold(seconds=self._hold_seconds),
            services_only=services_only,
        )
        app = web.Application()
        app.add_routes(build_row_routes(source.cache))
        server = TestServer(app)
        await server.start_server()
        self.stack.push_async_callback(server.close)
        self.servers.append(server)
        self.caches.append(source.cache)
        self.sources.append(source)
        feed = TableFeed(
            store=source,
            table=names.OPERATORS_TABLE,
            wait=FEED_SECONDS,
            handler=build_operator_handler(self.states[number], FLEET),
            rng=random.Random(number),
        )
        task = asyncio.ensure_future(feed.follow())
        self.stack.callback(task.cancel)

    def put_state(self, version: int) -> None:
        """Write a desired state as operators do."""
        route = {
            'name': 'r',
            'host': 'h',
            'prefix': '/',
            'route_type': 'idempotent',
            'timeout_ms': 1,
        }
        state = {
            'version': version,
            'routes': [route],
            'services': [{'name': 'plain'}],
            'tenants': [],
        }
        self.fake.put('op', 'config', state)

    async def wait_at(self, version: int) -> None:
        """Wait until a version is in force at every daemon."""
        await wait_for(
            lambda: all(
                state.desired is not None and state.desired.version == version
                for state in self.states
            )
        )

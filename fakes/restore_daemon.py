"""A daemon that follows the store, without callers and targets."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import FLEET, REGIONS
from fakes.fleet_store import FleetStore
from ragwortcourse.addresses import parse_address
from ragwortcourse.forwarding.fleet_state import FleetState, read_boot_clock
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.identifiers import DaemonId, FailureDomainName, RegionName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relay_rows import RelayRegistry, keep_registered
from ragwortcourse.platform.relayed_store import RelayedStore
from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.shared_table import SharedTable, share_table
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.table_pace import DAEMONS_PACE, TARGETS_PACE
from ragwortcourse.platform.target_reader import build_target_handler
from ragwortcourse.processes.forwarder_daemon import (
    OPERATORS_FEED_SECONDS,
    OPERATORS_PAUSE_SECONDS,
    OPERATORS_PEER_SECONDS,
    TARGETS_FEED_SECONDS,
    TARGETS_PAUSE_SECONDS,
    TARGETS_SPREAD_SECONDS,
)

# Region of failure domains that the test fleet does not list.
OTHER_REGION = RegionName('other')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedCall:
    """A call of a daemon that the store did not refuse outright.

    :param at: boot-clock time of its arrival.
    :param table: empty for a write.
    :param size: bytes of the answer's body.
    """

    at: float
    path: str
    table: str
    size: int


class RestoreDaemon:
    """Feeds, registration and row exchange of one forwarder.

    :ivar state: state of the fleet as the daemon read it.
    :ivar registry: daemons that it knows.
    :ivar is_cut_off: true to refuse its calls to the store.
    :ivar accepted: calls that the store took.
    """

    def __init__(
        self, *, name: DaemonId, domain: FailureDomainName, fake: FleetStore
    ) -> None:
        self.name = name
        self.domain = domain
        self.state = FleetState()
        self.is_cut_off = False
        self.started_at = read_boot_clock()
        self.accepted: list[AcceptedCall] = []
        self._fake = fake
        self._rng = random.Random(name)
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start to follow the store."""
        app = self._fake.build_app()
        app.middlewares.append(self._pass_to_store)
        server = await self._serve(app)
        session = await self._stack.enter_async_context(ClientSession())
        store = Store(session=session, address=server)
        self.registry = RelayRegistry(store=store, rng=self._rng)
        source = RelayedStore(
            store=store,
            session=session,
            list_upstreams=self.registry.build_upstream_lister(
                own=self.name, domain=self.domain
            ),
            list_successors=self.registry.build_successor_lister(
                own=self.name, domain=self.domain
            ),
            list_fallbacks=self.registry.build_fallback_lister(
                own=self.name, domain=self.domain
            ),
            peer_wait=OPERATORS_PEER_SECONDS,
            hold=RestoreHold(seconds=FLEET.contact_ms / 1000),
        )
        targets, registrations = (
            share_table(
                store=store,
                session=session,
                relays=self.registry,
                own=self.name,
                domain=self.domain,
                pace=pace,
            )
            for pace in (TARGETS_PACE, DAEMONS_PACE)
        )
        peers = web.Application()
        peers.add_routes(build_row_routes(source.cache))
        peers.add_routes(targets.routes)
        peers.add_routes(registrations.routes)
        record = RelayRecord(
            daemon=self.name,
            address=parse_address(await self._serve(peers)),
            failure_domain=self.domain,
            region=REGIONS.get(self.domain, OTHER_REGION),
        )
        for work in (
            keep_registered(store, record, self._rng),
            self.registry.follow(registrations),
            self._build_operators_feed(source).follow(),
            self._build_targets_feed(targets).follow(),
        ):
            task = asyncio.ensure_future(work)
            self._stack.callback(task.cancel)

    async def kill(self) -> None:
        """End the daemon."""
        await self._stack.aclose()

    def _build_operators_feed(self, source: RelayedStore) -> TableFeed:
        return TableFeed(
            store=source,
            table=names.OPERATORS_TABLE,
            wait=OPERATORS_FEED_SECONDS,
            pause=OPERATORS_PAUSE_SECONDS,
            handler=build_operator_handler(self.state, FLEET),
            rng=self._rng,
        )

    def _build_targets_feed(self, source: SharedTable) -> TableFeed:
        return TableFeed(
            store=source,
            table=names.TARGETS_TABLE,
            wait=TARGETS_FEED_SECONDS,
            pause=TARGETS_PAUSE_SECONDS,
            spread=TARGETS_SPREAD_SECONDS,
            handler=build_target_handler(TargetList(state=self.state), REGIONS),
            rng=self._rng,
        )

    @web.middleware
    async def _pass_to_store(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self.is_cut_off:
            raise web.HTTPServiceUnavailable
        if self._fake.down:
            return await handler(request)
        arrived_at = read_boot_clock()
        answer = await handler(request)
        body = answer.body if isinstance(answer, web.Response) else None
        size = len(body) if isinstance(body, bytes) else 0
        self.accepted.append(
            AcceptedCall(
                at=arrived_at,
                path=request.path,
                table=request.query.get('table', ''),
                size=size,
            )
        )
        return answer

    async def _serve(self, app: web.Application) -> str:
        server = TestServer(app)
        await server.start_server()
        self._stack.push_async_callback(server.close)
        return f'127.0.0.1:{server.port}'

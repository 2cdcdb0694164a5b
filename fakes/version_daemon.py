"""A forwarder's knowledge of versions, without callers and targets."""

import asyncio
import contextlib
import functools
import random
import zlib
from collections.abc import Coroutine
from typing import Any

from fakes.fleet_parts import ENGINE_RULES, FLEET, REGIONS, make_forwarder
from fakes.memory_fleet import MemoryFleet, MemorySession
from fakes.suspension import Suspension
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.load_exchange import (
    LoadReceiver,
    send_rounds,
)
from ragwortcourse.forwarding.version_bounds import (
    START_MARGIN_SECONDS,
    find_bound,
)
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.relay_daemons import describe_daemon
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.operator_rows import build_operator_handler
from ragwortcourse.platform.relay_rows import RelayRegistry
from ragwortcourse.platform.relayed_store import RelayedStore
from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.store import Store
from ragwortcourse.processes.forwarder_daemon import (
    OPERATORS_FEED_SECONDS,
    OPERATORS_PAUSE_SECONDS,
    OPERATORS_PEER_SECONDS,
)
from ragwortcourse.settings import ListenSettings

STORE_ADDRESS = 'store:1'
PEERS_PORT = 1


def make_address(name: DaemonId, port: int = PEERS_PORT) -> str:
    """Make an address of a daemon, which others can call, from its name."""
    host = zlib.crc32(name.encode()).to_bytes(4)[1:]
    return f'127.{".".join(map(str, host))}:{port}'


class VersionDaemon:
    """Feed of the operators' rows and exchange of versions of one forwarder.

    :ivar record: its registration.
    :ivar state: state of the fleet as it knows it.
    :ivar suspension: holds the daemon while its host is suspended.
    """

    def __init__(
        self,
        *,
        name: DaemonId,
        domain: FailureDomainName,
        fleet: MemoryFleet,
        seed: str,
    ) -> None:
        self.started_at = read_clock()
        self.state = FleetState()
        self.suspension = Suspension()
        self._rng = random.Random(seed)
        self._fleet = fleet
        self._stack = contextlib.AsyncExitStack()
        address = make_address(name)
        self._session = MemorySession(fleet=fleet, own=address)
        self._forwarder = make_forwarder(
            self.state,
            self._session,  # type: ignore[arg-type]
            daemon=name,
            failure_domain=domain,
            region=REGIONS[domain],
            listen=ListenSettings(
                peers=address,
                watch=make_address(name, 2),
                callers=make_address(name, 3),
            ),
        )
        self.record = describe_daemon(self._forwarder.settings)

    @property
    def address(self) -> str:
        """Return the address of its port for other daemons."""
        return self.record.address

    @property
    def required_version(self) -> int:
        """Return the lowest version that requests may begin on; zero: any.

        Requests that wait at a target may begin until the second margin.
        """
        bound = find_bound(self._forwarder, ENGINE_RULES, START_MARGIN_SECONDS)
        return 0 if bound is None else bound.named.version

    def start(self) -> None:
        """Start to follow the rows and to exchange messages."""
        store = Store(
            session=self._session,  # type: ignore[arg-type]
            address=STORE_ADDRESS,
        )
        registry = RelayRegistry(store=store, rng=self._rng)
        source = RelayedStore(
            store=store,
            session=self._session,  # type: ignore[arg-type]
            list_upstreams=registry.build_upstream_lister(
                own=self.record.daemon, domain=self.record.failure_domain
            ),
            list_successors=registry.build_successor_lister(
                own=self.record.daemon, domain=self.record.failure_domain
            ),
            list_fallbacks=registry.build_fallback_lister(
                own=self.record.daemon, domain=self.record.failure_domain
            ),
            peer_wait=OPERATORS_PEER_SECONDS,
            hold=RestoreHold(seconds=FLEET.contact_ms / 1000),
        )
        feed = TableFeed(
            store=source,
            table=names.OPERATORS_TABLE,
            wait=OPERATORS_FEED_SECONDS,
            pause=OPERATORS_PAUSE_SECONDS,
            handler=build_operator_handler(self.state, FLEET),
            rng=self._rng,
        )
        receiver = LoadReceiver(forwarder=self._forwarder)
        self._fleet.listen(
            self.address, build_row_routes(source.cache), self.suspension
        )
        self._fleet.receive(
            self.address,
            lambda content, sender: self.suspension.deliver(
                functools.partial(receiver.datagram_received, content, sender)
            ),
        )
        for work in (
            registry.follow(store),
            feed.follow(),
            send_rounds(
                forwarder=self._forwarder,
                receiver=receiver,
                send=self._send,
                list_relays=registry.list,
            ),
        ):
            task = asyncio.ensure_future(self._run(work))
            self._stack.callback(task.cancel)

    async def kill(self) -> None:
        """End the daemon."""
        self._fleet.stop(self.address)
        await self._stack.aclose()

    async def _run(self, work: Coroutine[Any, Any, None]) -> None:
        await self.suspension.drive(work)

    def _send(self, content: bytes, address: str) -> None:
        self._fleet.send(self.address, content, address)

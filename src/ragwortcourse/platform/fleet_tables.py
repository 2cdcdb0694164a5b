"""Sources of the store's tables for one forwarder or loader."""

import dataclasses
import functools
import random

from aiohttp import ClientSession, web

from ragwortcourse.forwarding.forwarder import read_fleet_settings
from ragwortcourse.platform.relay_rows import RelayRegistry
from ragwortcourse.platform.relayed_store import RelayedStore
from ragwortcourse.platform.restore_hold import RestoreHold
from ragwortcourse.platform.row_relay import build_row_routes
from ragwortcourse.platform.shared_table import SharedTable, share_table
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.table_pace import DAEMONS_PACE, TARGETS_PACE
from ragwortcourse.settings import Settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetTables:
    """Client of the store, and the source of each of its tables.

    :param operators: desired state, withdrawals and versions of weights.
    """

    store: Store
    relays: RelayRegistry
    operators: RelayedStore
    targets: SharedTable
    registrations: SharedTable

    @property
    def routes(self) -> list[web.RouteDef]:
        """Return the routes that send the rows to other daemons."""
        return [
            *build_row_routes(self.operators.cache),
            *self.targets.routes,
            *self.registrations.routes,
        ]


def build_fleet_tables(
    *,
    settings: Settings,
    session: ClientSession,
    store_session: ClientSession,
    rng: random.Random,
    peer_wait: float,
    services_only: bool = False,
) -> FleetTables:
    """Build the sources of the daemon with these settings.

    :param session: session for calls to other daemons.
    :param peer_wait: seconds that a call to another daemon waits for a change
        of the operators' rows.
    :param services_only: leave out routes and client accounts.
    :raises ValueError: the settings have no ``[fleet]`` section.
    """
    fleet = read_fleet_settings(settings)
    store = Store(session=store_session, address=fleet.store)
    relays = RelayRegistry(store=store, rng=rng)
    share = functools.partial(
        share_table,
        store=store,
        session=session,
        relays=relays,
        own=settings.daemon,
        domain=settings.failure_domain,
    )
    operators = RelayedStore(
        store=store,
        session=session,
        list_upstreams=relays.build_upstream_lister(
            own=settings.daemon, domain=settings.failure_domain
        ),
        list_successors=relays.build_successor_lister(
            own=settings.daemon, domain=settings.failure_domain
        ),
        list_fallbacks=relays.build_fallback_lister(
            own=settings.daemon, domain=settings.failure_domain
        ),
        peer_wait=peer_wait,
        hold=RestoreHold(seconds=fleet.contact_ms / 1000),
        services_only=services_only,
    )
    return FleetTables(
        store=store,
        relays=relays,
        operators=operators,
        targets=share(pace=TARGETS_PACE, witness=operators.cache),
        registrations=share(pace=DAEMONS_PACE, witness=operators.cache),
    )

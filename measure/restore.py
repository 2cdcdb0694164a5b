"""Calls and bytes of a store that comes back from an older copy.

Daemons of a fleet follow a stand-in of the store in one process, over
loopback. It writes one desired state again after the restore.
"""

import asyncio
import collections
from collections.abc import Iterator
from typing import Final

from fakes.fleet_store import FleetStore
from fakes.many_routes import make_many_routes
from fakes.restore_daemon import AcceptedCall, RestoreDaemon
from fakes.restore_rounds import count_most
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.platform import names, relay_rows

# Daemons, failure domains and routes of the users' fleets, and of the size to
# design for. One processor can't decode a long state for that many daemons in
# the time that a daemon waits for another, so it has fewer routes.
SIZES: Final = ((9, 3, 1640), (45, 3, 1640), (350, 8, 100))
TARGETS: Final = 34
# Less than a desired state has for each route.
ROUTE_BYTES: Final = 200
STARTS_AT_ONCE: Final = 10
START_SECONDS: Final = 0.2
SETTLE_SECONDS: Final = 8.0
COPY_SECONDS: Final = 3.0
OUTAGE_SECONDS: Final = 1.0
REWRITE_SECONDS: Final = 1.0
WATCHED_SECONDS: Final = 8.0
TIMEOUT_SECONDS: Final = 60.0
STEP_SECONDS: Final = 0.05
Row = dict[str, str | int | float | bool | None]


def run() -> Iterator[Row]:
    """Yield one row for each size of fleet."""
    for daemons, domains, routes in SIZES:
        yield asyncio.run(_measure(daemons, domains, routes))


async def _measure(count: int, domains: int, routes: int) -> Row:
    store = FleetStore()
    _put_state(store, 1, routes)
    for number in range(TARGETS):
        store.put('servers', f'i-{number}', _make_target(number))
    daemons = await _start_daemons(store, count, domains)
    await _await_state(daemons, 1)
    await asyncio.sleep(SETTLE_SECONDS)
    _put_state(store, 2, routes)
    await _await_state(daemons, 2)
    store.down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    store.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
    store.down = False
    restored_at = read_boot_clock()
    await asyncio.sleep(WATCHED_SECONDS)
    calls = [
        call
        for daemon in daemons
        for call in daemon.accepted
        if call.at >= restored_at
    ]
    for daemon in daemons:
        await daemon.kill()
    return {'domains': domains, 'daemons': count, **_describe(calls, routes)}


def _describe(calls: list[AcceptedCall], routes: int) -> Row:
    paths = collections.Counter(call.path for call in calls)
    tables = collections.Counter(
        call.table for call in calls if call.path == '/rows-get'
    )
    return {
        'measure': 'restore',
        'routes': routes,
        'seconds': WATCHED_SECONDS,
        'calls': len(calls),
        'most_in_a_second': count_most(sorted(call.at for call in calls)),
        'bytes': sum(call.size for call in calls),
        'operator_bytes': sum(
            call.size for call in calls if call.table == names.OPERATORS_TABLE
        ),
        'operator_reads': tables[names.OPERATORS_TABLE],
        'operator_changes': sum(
            call.table == names.OPERATORS_TABLE
            and call.path == '/rows-feed'
            and call.size > routes * ROUTE_BYTES
            for call in calls
        ),
        'target_reads': tables[names.TARGETS_TABLE],
        'registration_reads': tables[relay_rows.TABLE],
        'feed_calls': paths['/rows-feed'],
        'writes': paths['/rows-tx'],
    }


async def _start_daemons(
    store: FleetStore, count: int, domains: int
) -> list[RestoreDaemon]:
    daemons = []
    for number in range(count):
        daemon = RestoreDaemon(
            name=DaemonId(f'entry-{number}'),
            domain=FailureDomainName(f'domain-{number % domains}'),
            fake=store,
        )
        await daemon.start()
        daemons.append(daemon)
        if number % STARTS_AT_ONCE == 0:
            await asyncio.sleep(START_SECONDS)
    return daemons


async def _await_state(daemons: list[RestoreDaemon], version: int) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not all(
            daemon.state.desired is not None
            and daemon.state.desired.version == version
            for daemon in daemons
        ):
            await asyncio.sleep(STEP_SECONDS)


def _put_state(store: FleetStore, version: int, count: int) -> None:
    store.put('op', 'config', make_many_routes(count, version=version))


def _make_target(number: int) -> dict[str, str | int]:
    return {
        'service': 'plain',
        'address': f'10.0.0.{number}:80',
        'zone': 'near-a',
        'slots': 16,
        'state': 'ready',
        'cold_left_ms': 0,
    }

"""Tests of daemons whose store comes back from an older copy."""

import asyncio
import dataclasses
import time

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from fakes.conditions import wait_for
from fakes.fleet_parts import FLEET, REGIONS
from fakes.row_domain import FEED_SECONDS, HOLD_SECONDS, RowDomain
from ragwortcourse.forwarding.fleet_state import FleetState, read_boot_clock
from ragwortcourse.forwarding.target_list import LAPSE_SECONDS, TargetList
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform import names, relay_rows
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.relay_rows import RelayRegistry, keep_registered
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.row_relay import (
    OPERATORS_PATH,
    RelayedRow,
    RelayedRows,
)
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import HistoryGone, StoreRow, StoreRows
from ragwortcourse.platform.target_reader import build_target_handler

COPY_SECONDS = 0.2
REWRITE_SECONDS = 0.6
LONG_HOLD_SECONDS = 60.0
# All daemons are at the newest state within this time.
NEWEST_SECONDS = 3.0
NOT_WRITTEN = 'were not written again'
WITHDRAWN = 'near-a'
EVACUATION = f'evacuate/{WITHDRAWN}'
TARGET_ROW = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'near-a',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 0,
}


async def open_domain(opened: RowDomain) -> None:
    """Start daemons at a desired state that the store has a copy of."""
    opened.put_state(1)
    await opened.open()
    await opened.wait_at(1)
    await asyncio.sleep(COPY_SECONDS * 2)


@pytest.fixture
async def domain():
    """Daemons that keep lost rows for a short time."""
    opened = RowDomain()
    async with opened.stack:
        await open_domain(opened)
        yield opened


@pytest.fixture
async def holding():
    """Daemons that keep lost rows for longer than a test lasts."""
    opened = RowDomain(hold_seconds=LONG_HOLD_SECONDS)
    async with opened.stack:
        await open_domain(opened)
        yield opened


async def list_violations(check, seconds: float) -> list[float]:
    """List the times in a span at which a condition does not hold."""
    began_at, violated = read_boot_clock(), []
    while read_boot_clock() - began_at < seconds:
        if not check():
            violated.append(read_boot_clock() - began_at)
        await asyncio.sleep(0.01)
    return violated


class TestReading:
    """Reads of the operators' rows after a restore."""

    async def test_whole_reads(self, domain):
        """The table is read once, not each time until revisions pass."""
        for version in range(2, 9):
            domain.put_state(version)
        await domain.wait_at(8)
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        calls = len(domain.fake.calls)
        await asyncio.sleep(2)
        await domain.wait_at(8)
        reads = domain.fake.calls[calls:].count('/rows-get')
        assert reads <= len(domain.states)

    @pytest.mark.parametrize('outage', [0, 0.6, 2.5])
    async def test_one_reads_the_store(self, domain, outage):
        """One daemon reads the table from the store, others ask it.

        Incident: rounds of restores. Daemons that had not answered during the
        outage were not asked, and each daemon read the table itself.
        """
        domain.fake.down = True
        await asyncio.sleep(outage)
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        domain.put_state(2)
        calls = len(domain.fake.calls)
        domain.fake.down = False
        await domain.wait_at(2)
        assert domain.fake.calls[calls:].count('/rows-get') == 1

    async def test_rows_after_a_restore(self, domain):
        """Rows written in the new era are read by all daemons at once."""
        for version in range(2, 9):
            domain.put_state(version)
        await domain.wait_at(8)
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        for version in range(9, 30):
            domain.put_state(version)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(NEWEST_SECONDS):
            await domain.wait_at(29)

    async def test_revisions_passed_at_once(self, domain):
        """Rows whose revisions were given out before are not passed over."""
        for version in range(2, 5):
            domain.put_state(version)
        await domain.wait_at(4)
        domain.fake.down = True
        await wait_for(lambda: all(each.store_lost for each in domain.states))
        domain.fake.restore(5, rewrite_after=REWRITE_SECONDS)
        domain.fake.put('op', EVACUATION, {})
        for version in range(5, 15):
            domain.put_state(version)
        domain.fake.down = False
        await domain.wait_at(14)
        await wait_for(
            lambda: all(WITHDRAWN in each.withdrawn for each in domain.states)
        )


class TestOddEras:
    """Eras that are missing or go down."""

    async def test_goes_down(self, domain):
        """Daemons go on with a store that states an earlier era."""
        domain.fake.era = 3
        domain.put_state(2)
        await domain.wait_at(2)
        domain.fake.era = 2
        for version in range(3, 6):
            domain.put_state(version)
            await domain.wait_at(version)
        calls = len(domain.fake.calls)
        await asyncio.sleep(2)
        assert not domain.fake.calls[calls:].count('/rows-get')

    async def test_older_release(self, domain):
        """Rows of a daemon that states no era are of the era known before."""

        async def send_rows(request):
            row = RelayedRow(key='a', content=b'{}')
            revision = domain.fake.revision + 1
            rows = RelayedRows(
                rows=(row,), revision=revision, age=0, rows_age=0
            )
            return web.Response(body=msgspec.json.encode(rows))

        app = web.Application()
        app.add_routes([web.get(OPERATORS_PATH, send_rows)])
        server = TestServer(app)
        await server.start_server()
        domain.stack.push_async_callback(server.close)

        async def list_older():
            return [f'127.0.0.1:{server.port}']

        source = dataclasses.replace(
            domain.sources[0], list_upstreams=list_older
        )
        after = source.cache.position
        answer = await source.await_changes('op', after, wait=1, known_at=0)
        assert answer.position > after
        assert source.cache.position == answer.position


class TestRowCache:
    """Answers to daemons that read in another era."""

    @pytest.fixture
    def cache(self):
        """Build a cache that has read the table in two eras."""
        cache = RowCache()
        for era, revision in ((1, 9), (2, 3)):
            row = StoreRow(key='a', content=b'x')
            rows = StoreRows(rows=(row,), revision=revision, era=era)
            cache.replace(rows, read_boot_clock())
        return cache

    def test_earlier_era(self, cache):
        """Rows of an earlier era are not confirmed."""
        answer = cache.list_after(StorePosition(era=1, revision=9))
        assert isinstance(answer, HistoryGone)

    def test_own_era(self, cache):
        """Rows of the same era are confirmed."""
        answer = cache.list_after(StorePosition(era=2, revision=3))
        assert isinstance(answer, StoreRows)
        assert not answer.rows

    def test_older_release(self, cache):
        """A revision that the new era has not given out is not confirmed."""
        answer = cache.list_after(StorePosition(era=0, revision=9))
        assert isinstance(answer, HistoryGone)
        answer = cache.list_after(StorePosition(era=0, revision=3))
        assert isinstance(answer, StoreRows)


class TestWithdrawals:
    """Withdrawals that a restore lost."""

    async def _withdraw(self, domain):
        domain.fake.put('op', EVACUATION, {})
        await wait_for(lambda: self._is_withdrawn(domain))

    def _is_withdrawn(self, domain):
        return all(WITHDRAWN in each.withdrawn for each in domain.states)

    async def test_kept(self, holding):
        """A withdrawal holds until the operators have written it again."""
        await self._withdraw(holding)
        holding.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        assert not await list_violations(
            lambda: self._is_withdrawn(holding), REWRITE_SECONDS + 1
        )

    async def test_daemon_that_starts(self, holding):
        """A daemon that starts during the hold learns what was lost."""
        holding.put_state(2)
        await holding.wait_at(2)
        await self._withdraw(holding)
        holding.fake.restore(COPY_SECONDS, rewrite_after=LONG_HOLD_SECONDS)
        await asyncio.sleep(FEED_SECONDS * 2)
        await holding.start_daemon()
        started = holding.states[-1]
        await wait_for(lambda: started.desired is not None)
        assert started.desired.version == 2
        assert WITHDRAWN in started.withdrawn

    async def test_not_written_again(self, domain, caplog):
        """A withdrawal that is not written again ends after the hold.

        So it does at a daemon that learned of it from another meanwhile.
        """
        await self._withdraw(domain)
        domain.fake.restore(COPY_SECONDS, rewrite_after=LONG_HOLD_SECONDS)
        restored_at = read_boot_clock()
        await asyncio.sleep(FEED_SECONDS * 2)
        await domain.start_daemon()
        await wait_for(lambda: domain.states[-1].desired)
        await wait_for(
            lambda: not any(each.withdrawn for each in domain.states)
        )
        assert read_boot_clock() - restored_at >= HOLD_SECONDS
        assert NOT_WRITTEN in caplog.text

    async def test_lifted_meanwhile(self, holding, caplog):
        """A withdrawal that is lifted during the hold ends at once."""
        await self._withdraw(holding)
        holding.fake.restore(COPY_SECONDS, rewrite_after=0.1)
        await wait_for(lambda: holding.fake.read('op', EVACUATION))
        await asyncio.sleep(FEED_SECONDS)
        holding.fake.drop('op', EVACUATION)
        await wait_for(
            lambda: not any(each.withdrawn for each in holding.states)
        )
        assert NOT_WRITTEN not in caplog.text

    async def test_outage_in_the_hold(self, domain):
        """While the store is away the operators can't write, so it holds."""
        await self._withdraw(domain)
        domain.fake.restore(COPY_SECONDS, rewrite_after=LONG_HOLD_SECONDS)
        await asyncio.sleep(HOLD_SECONDS / 2)
        domain.fake.down = True
        await asyncio.sleep(HOLD_SECONDS)
        domain.fake.down = False
        back_at = read_boot_clock()
        await wait_for(
            lambda: not any(each.withdrawn for each in domain.states)
        )
        assert read_boot_clock() - back_at >= HOLD_SECONDS / 2


class TestKeys:
    """Confirmation of client accounts after a restore."""

    async def test_not_confirmed(self, domain):
        """Rows are not confirmed until revocations can be written again."""
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        restored_at = read_boot_clock()
        granted = FLEET.contact_ms / 1000
        assert not await list_violations(
            lambda: all(
                each.confirmed_at <= restored_at for each in domain.states
            ),
            granted - 0.2,
        )
        await wait_for(
            lambda: all(
                each.confirmed_at > restored_at for each in domain.states
            )
        )


class TestRegistrations:
    """Registrations of daemons that a restore lost."""

    def _make_record(self, number):
        return RelayRecord(
            daemon=f'entry-{number}',
            address=f'10.0.0.{number}:7000',
            failure_domain=WITHDRAWN,
            region='near',
        )

    async def test_count(self, domain):
        """No daemon is taken for gone after a restore."""
        store = domain.sources[0].store
        for number in range(4):
            content = self._make_record(number)
            await relay_rows.register_relay(store, content)
        registry = RelayRegistry(store=store, rng=domain.rng)
        await registry.read()
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        await registry.read()
        assert len(await registry.list()) == 4

    async def test_ended_daemons(self, domain, monkeypatch):
        """Registrations that are not written again are dropped later."""
        monkeypatch.setattr(relay_rows, 'RESTORED_SECONDS', 0.3)
        store = domain.sources[0].store
        await relay_rows.register_relay(store, self._make_record(1))
        registry = RelayRegistry(store=store, rng=domain.rng)
        await registry.read()
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        await registry.read()
        await asyncio.sleep(0.4)
        await registry.read()
        assert not await registry.list()

    async def test_written_again(self, domain):
        """A daemon registers again when it learns of the restore."""
        store, rng = domain.sources[0].store, domain.rng
        task = asyncio.ensure_future(
            keep_registered(store, self._make_record(1), rng)
        )
        domain.stack.callback(task.cancel)
        await wait_for(lambda: domain.fake.read('daemons', 'entry-1'))
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        assert domain.fake.read('daemons', 'entry-1') is None
        await wait_for(lambda: domain.fake.read('daemons', 'entry-1'))
        assert domain.fake.calls.count('/rows-tx') == 2


class TestClock:
    """Clock of the process that runs a restored store."""

    async def test_age_of_a_change(self, domain):
        """A change that a call waited for is not taken for an old one."""
        store = domain.sources[0].store
        domain.fake.restore(COPY_SECONDS, rewrite_after=60)
        domain.fake.clock_from = time.monotonic()
        answer = await store.read_table('op')
        known_at = read_boot_clock()
        waiting = asyncio.ensure_future(
            store.await_changes(
                'op', answer.position, wait=3, known_at=known_at
            )
        )
        await asyncio.sleep(1)
        domain.fake.put('op', EVACUATION, {})
        changed = await waiting
        assert changed.rows
        assert changed.rows_age < 0.5


class TestTargets:
    """Targets that a restore lost."""

    async def test_kept(self, domain):
        """A target stays listed until it can have written its row again."""
        state, store = FleetState(), domain.sources[0].store
        feed = TableFeed(
            store=store,
            table=names.TARGETS_TABLE,
            wait=FEED_SECONDS,
            handler=build_target_handler(TargetList(state=state), REGIONS),
            rng=domain.rng,
        )
        task = asyncio.ensure_future(feed.follow())
        domain.stack.callback(task.cancel)
        domain.fake.put(names.TARGETS_TABLE, 'i-1', TARGET_ROW)
        await wait_for(lambda: state.targets)
        domain.fake.restore(COPY_SECONDS, rewrite_after=REWRITE_SECONDS)
        assert not await list_violations(
            lambda: state.targets, REWRITE_SECONDS + LAPSE_SECONDS
        )
        domain.fake.drop(names.TARGETS_TABLE, 'i-1')
        await wait_for(lambda: not state.targets)

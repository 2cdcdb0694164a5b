"""Tests of tables that two daemons of a failure domain read for all others."""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import random

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.conditions import wait_for
from fakes.fleet_parts import FAR_DOMAIN, NEAR_DOMAIN, REGIONS
from fakes.fleet_store import FleetStore
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import TargetList
from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.membership.readers import MAX_READERS, list_shared_readers
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import TableFeed
from ragwortcourse.platform.relay_rows import (
    RelayRegistry,
    keep_registered,
    register_relay,
)
from ragwortcourse.platform.row_cache import RowCache
from ragwortcourse.platform.shared_table import (
    SharedTable,
    build_shared_table,
    share_table,
)
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import UNKNOWN_ERA, StorePosition
from ragwortcourse.platform.store_row import StoreRows
from ragwortcourse.platform.table_pace import TARGETS_PACE
from ragwortcourse.platform.target_reader import build_target_handler

DAEMONS = 8
FEED_SECONDS = 4.0
# Time after which a leaving target gets no requests on the smallest sites.
DRAIN_SECONDS = 2.0
# Calls of a daemon to a reader; it waits for a change for most of a second.
ASKED_A_SECOND = 3
TARGET = 't-1'
FEED = '/rows-feed'
READ = '/rows-get'


def make_relay(number: int, address: str = 'a:1') -> RelayRecord:
    """Build the record of a registered daemon."""
    return RelayRecord(
        daemon=DaemonId(f'd-{number}'),
        address=address,
        failure_domain=NEAR_DOMAIN,
        region=REGIONS[NEAR_DOMAIN],
    )


def describe_target(state: str = 'ready') -> dict[str, object]:
    """Build the entry of a target."""
    return {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': NEAR_DOMAIN,
        'slots': 4,
        'state': state,
        'cold_left_ms': 0,
        'born': 1,
    }


@dataclasses.dataclass(kw_only=True)
class Follower:
    """A daemon that follows the list of targets.

    :ivar calls: calls to the store, as path and table.
    :ivar asked: calls of other daemons.
    :ivar is_cut_off: the store refuses its calls.
    :ivar is_partitioned: nothing passes between it and the store; calls and
        answers are lost.
    :ivar losses: number of times at which the answers to all its calls to the
        store were lost.
    :ivar is_frozen: it answers no other daemon.
    """

    number: int
    state: FleetState = dataclasses.field(default_factory=FleetState)
    asked: int = 0
    calls: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    is_cut_off: bool = False
    is_partitioned: bool = False
    losses: int = 0
    is_frozen: bool = False
    task: asyncio.Task[None] | None = None
    table: SharedTable | None = None
    server: TestServer | None = None

    def count(self, path: str) -> int:
        """Count the calls for the list of targets."""
        return self.calls.count((path, names.TARGETS_TABLE))

    def knows(self, *, leaving: bool) -> bool:
        """Tell whether the target is listed as leaving, or as ready."""
        target = self.state.targets.get(TargetName(TARGET))
        return target is not None and target.leaving is leaving


class Domain:
    """Daemons of one failure domain, and the store."""

    def __init__(self) -> None:
        self.fake = FleetStore()
        self.stack = contextlib.AsyncExitStack()
        self.followers = [Follower(number=number) for number in range(DAEMONS)]

    async def start(self) -> None:
        """Register all daemons, then let them follow the targets."""
        self.session = await self.stack.enter_async_context(ClientSession())
        self.fake.put(names.TARGETS_TABLE, TARGET, describe_target())
        for follower in self.followers:
            await self._open(follower)
        for follower in self.followers:
            self._follow(follower)
        await self.wait_known(leaving=False)

    async def wait_known(self, *, leaving: bool) -> None:
        """Wait until every daemon that runs knows the target's state."""
        await wait_for(
            lambda: all(
                each.knows(leaving=leaving)
                for each in self.followers
                if not each.is_frozen
            )
        )

    def list_readers(self) -> list[Follower]:
        """List the daemons that read the store."""
        return [each for each in self.followers if self._is_reader(each)]

    def list_others(self) -> list[Follower]:
        """List the daemons that follow others, in the order of ranks."""
        relays = [make_relay(each.number) for each in self.followers]
        listed = {
            each.number: len(
                list_shared_readers(
                    relays=relays,
                    own=DaemonId(f'd-{each.number}'),
                    domain=NEAR_DOMAIN,
                )
            )
            for each in self.followers
        }
        return sorted(
            (each for each in self.followers if listed[each.number]),
            key=lambda each: listed[each.number],
        )

    async def confirm(self) -> None:
        """Change a row, so that all daemons have just heard of a change."""
        self.fake.put(names.TARGETS_TABLE, 't-2', describe_target())
        await wait_for(
            lambda: all('t-2' in each.state.targets for each in self.followers)
        )

    def leave(self) -> None:
        """Let the target leave."""
        self.fake.put(names.TARGETS_TABLE, TARGET, describe_target('draining'))

    def clear_calls(self) -> None:
        """Forget the calls so far."""
        for follower in self.followers:
            follower.calls.clear()

    def count(self, path: str) -> int:
        """Count the calls of all daemons for the list of targets."""
        return sum(each.count(path) for each in self.followers)

    def _is_reader(self, follower: Follower) -> bool:
        relays = [make_relay(each.number) for each in self.followers]
        return not list_shared_readers(
            relays=relays, own=f'd-{follower.number}', domain=NEAR_DOMAIN
        )

    async def _open(self, follower: Follower) -> None:
        @web.middleware
        async def pass_to_store(request, handler):
            path, table = request.path, request.query.get('table', '')
            follower.calls.append((path, table))
            if follower.is_cut_off:
                raise web.HTTPServiceUnavailable
            losses = follower.losses
            answer = await handler(request)
            if follower.is_partitioned or follower.losses > losses:
                await asyncio.Event().wait()
            return answer

        @web.middleware
        async def freeze(request, handler):
            follower.asked += 1
            if follower.is_frozen:
                await asyncio.Event().wait()
            return await handler(request)

        app = self.fake.build_app()
        app.middlewares.append(pass_to_store)
        address = await self._serve(TestServer(app))
        store = Store(session=self.session, address=address)
        relays = RelayRegistry(store=store, rng=random.Random(1))
        follower.table = share_table(
            store=store,
            session=self.session,
            relays=relays,
            own=DaemonId(f'd-{follower.number}'),
            domain=NEAR_DOMAIN,
            pace=TARGETS_PACE,
        )
        peers = web.Application(middlewares=[freeze])
        peers.add_routes(follower.table.routes)
        follower.server = TestServer(peers)
        served = await self._serve(follower.server)
        await register_relay(store, make_relay(follower.number, served))

    def _follow(self, follower: Follower) -> None:
        feed = TableFeed(
            store=follower.table,
            table=names.TARGETS_TABLE,
            wait=FEED_SECONDS,
            handler=build_target_handler(
                TargetList(state=follower.state), REGIONS
            ),
            rng=random.Random(follower.number),
        )
        follower.task = asyncio.ensure_future(feed.follow())
        self.stack.callback(follower.task.cancel)

    async def _serve(self, server: TestServer) -> str:
        await server.start_server()
        self.stack.push_async_callback(server.close)
        return f'127.0.0.1:{server.port}'


@pytest.fixture
async def domain(caplog):
    """Daemons that know a target."""
    caplog.set_level(logging.INFO)
    opened = Domain()
    async with opened.stack:
        await opened.start()
        yield opened


class TestListReaders:
    """Daemons that may read a shared table for another one."""

    def test_no_circle(self):
        """Two read for all others, and nobody follows one that ranks after."""
        relays = [make_relay(number) for number in range(DAEMONS)]
        listed = {
            relay.daemon: [
                reader.daemon
                for reader in list_shared_readers(
                    relays=relays, own=relay.daemon, domain=NEAR_DOMAIN
                )
            ]
            for relay in relays
        }
        counted = collections.Counter(map(len, listed.values()))
        assert counted == {
            0: MAX_READERS,
            **dict.fromkeys(range(2, DAEMONS), 1),
        }
        for daemon, readers in listed.items():
            assert all(daemon not in listed[reader] for reader in readers)

    def test_own_domain_alone(self):
        """Daemons of other failure domains do not read for this one."""
        relays = [
            RelayRecord(
                daemon=DaemonId('far'),
                address='a:1',
                failure_domain=FAR_DOMAIN,
                region=REGIONS[FAR_DOMAIN],
            )
        ]
        assert not list_shared_readers(
            relays=relays, own=DaemonId('loader'), domain=NEAR_DOMAIN
        )


class TestCalls:
    """Calls to the store while all daemons follow a table."""

    async def test_every_daemon_read_the_store(self, domain):
        """Two daemons of a failure domain call the store, not all of them.

        Seen on a large fleet: calls to the store were half of what a day of
        faults cost.
        """
        domain.clear_calls()
        domain.leave()
        await domain.wait_known(leaving=True)
        callers = [each for each in domain.followers if each.count(FEED)]
        assert callers == domain.list_readers()
        assert len(callers) == MAX_READERS

    async def test_lost_history(self, domain):
        """After a loss of the change history two daemons read all rows.

        Incident: 29 daemons read the whole table at once over a narrow line
        between regions. The line was full for seconds, and desired states
        came 5 s after their acknowledgement.
        """
        await asyncio.sleep(0.1)
        domain.clear_calls()
        domain.fake.forget_history()
        domain.leave()
        domain.fake.forget_history()
        await domain.wait_known(leaving=True)
        assert domain.count(READ) <= MAX_READERS

    async def test_readers_turned_away(self, domain):
        """If the store rejects both readers, the next two take their place."""
        for reader in domain.list_readers():
            reader.is_cut_off = True
        domain.leave()
        await asyncio.sleep(FEED_SECONDS + 0.5)
        domain.clear_calls()
        domain.fake.put(names.TARGETS_TABLE, TARGET, describe_target())
        others = [
            each
            for each in domain.followers
            if each not in domain.list_readers()
        ]
        await wait_for(
            lambda: all(each.knows(leaving=False) for each in others)
        )
        callers = [each for each in others if each.count(FEED)]
        assert 0 < len(callers) <= MAX_READERS


class TestReaders:
    """Readers that fail; changes still come in time."""

    async def test_reader_suspended(self, domain):
        """A reader that stops without closing connections delays nobody."""
        domain.list_readers()[0].is_frozen = True
        domain.leave()
        async with asyncio.timeout(DRAIN_SECONDS / 2):
            await domain.wait_known(leaving=True)

    async def test_reader_that_hears_nothing(self, domain):
        """A reader whose connection to the store is silent delays nobody."""
        reader = domain.list_readers()[0]
        reader.task.cancel()
        domain.leave()
        followers = [each for each in domain.followers if each is not reader]
        async with asyncio.timeout(DRAIN_SECONDS / 2):
            await wait_for(
                lambda: all(each.knows(leaving=True) for each in followers)
            )

    async def test_both_killed(self, domain):
        """Without both readers the others go on in time."""
        readers = domain.list_readers()
        for reader in readers:
            reader.task.cancel()
            await reader.server.close()
        domain.leave()
        others = [each for each in domain.followers if each not in readers]
        async with asyncio.timeout(DRAIN_SECONDS):
            await wait_for(
                lambda: all(each.knows(leaving=True) for each in others)
            )

    async def test_older_rows_of_a_slow_reader(self, domain):
        """Rows that one reader tells late do not undo newer ones."""
        reader, other = domain.list_readers()
        reader.is_frozen = True
        domain.leave()
        await wait_for(lambda: other.knows(leaving=True))
        reader.is_frozen = False
        await domain.wait_known(leaving=True)
        await asyncio.sleep(0.5)
        assert all(each.knows(leaving=True) for each in domain.followers)


def know_departure(followers: list[Follower]) -> bool:
    """Tell whether none of the daemons sends to the target any more."""
    return not any(each.knows(leaving=False) for each in followers)


def cut_both(readers: list[Follower], _others: list[Follower]) -> list:
    """Cut both readers from the store."""
    for reader in readers:
        reader.is_partitioned = True
    return readers


def cut_and_stop(readers: list[Follower], _others: list[Follower]) -> list:
    """Cut a reader from the store and suspend the other."""
    readers[0].is_partitioned = True
    readers[1].is_frozen = True
    return readers


def stop_and_cut(readers: list[Follower], others: list[Follower]) -> list:
    """Cut a reader from the store and suspend the other."""
    return cut_and_stop(readers[::-1], others)


def cut_three(readers: list[Follower], others: list[Follower]) -> list:
    """Cut both readers, and the daemon that takes their place."""
    return cut_both([*readers, others[0]], others)


def stop_both_cut_next(readers: list[Follower], others: list[Follower]) -> list:
    """Suspend both readers, and cut the daemon that takes their place."""
    for reader in readers:
        reader.is_frozen = True
    others[0].is_partitioned = True
    return [*readers, others[0]]


class TestReadersWithoutStore:
    """Readers that lose the store while their followers keep it."""

    @pytest.mark.parametrize(
        'harm',
        [cut_both, cut_and_stop, stop_and_cut, cut_three, stop_both_cut_next],
    )
    @pytest.mark.parametrize('is_removed', [False, True])
    async def test_target_that_left(self, domain, harm, is_removed):
        """Followers of cut readers sent to a target that had left.

        Review, case 14: a list that is confirmed only seconds later by the
        readers' own calls was passed on as the newest.
        """
        await domain.confirm()
        harmed = harm(domain.list_readers(), domain.list_others())
        if is_removed:
            domain.fake.drop(names.TARGETS_TABLE, TARGET)
        else:
            domain.leave()
        sound = [each for each in domain.followers if each not in harmed]
        async with asyncio.timeout(DRAIN_SECONDS):
            await wait_for(lambda: know_departure(sound))

    async def test_removal_during_a_long_cut(self, domain):
        """Followers kept a target, as if the store had just come back.

        It was there for them all the while; only their readers had lost it.
        """
        cut_both(domain.list_readers(), domain.list_others())
        await asyncio.sleep(FEED_SECONDS + 2 * DRAIN_SECONDS)
        domain.fake.drop(names.TARGETS_TABLE, TARGET)
        async with asyncio.timeout(DRAIN_SECONDS):
            await wait_for(lambda: know_departure(domain.list_others()))

    @pytest.mark.parametrize('is_removed', [False, True])
    async def test_lost_answers(self, domain, is_removed):
        """Readers whose waiting calls are never answered act in time, too.

        Soak, seed 64105: the store was silent for 1.8 s, and both readers sent
        to a target for 4.2 s after its row had ended.
        """
        await domain.confirm()
        for reader in domain.list_readers():
            reader.losses += 1
        if is_removed:
            domain.fake.drop(names.TARGETS_TABLE, TARGET)
        else:
            domain.leave()
        async with asyncio.timeout(DRAIN_SECONDS):
            await wait_for(lambda: know_departure(domain.followers))

    async def test_rush_at_a_cut_reader(self, domain):
        """Daemons that ask the next reader do not ask the store besides."""
        domain.list_readers()[0].is_partitioned = True
        await asyncio.sleep(0.1)
        domain.clear_calls()
        domain.leave()
        await asyncio.sleep(2 * DRAIN_SECONDS)
        callers = [each for each in domain.list_others() if each.count(FEED)]
        assert len(callers) <= MAX_READERS

    async def test_rush_at_two_cut_readers(self, domain):
        """Two daemons take the place of two readers, not all of them."""
        for reader in domain.list_readers():
            reader.is_partitioned = True
        await asyncio.sleep(0.1)
        domain.clear_calls()
        await asyncio.sleep(2 * DRAIN_SECONDS)
        callers = [each for each in domain.list_others() if each.count(FEED)]
        assert 0 < len(callers) <= MAX_READERS

    async def test_domain_cut_off(self, domain):
        """Daemons that have all lost the store keep the targets they know."""
        for each in domain.followers:
            each.is_partitioned = True
        await asyncio.sleep(3 * DRAIN_SECONDS)
        assert all(each.knows(leaving=False) for each in domain.followers)

    async def test_calls_in_calm(self, domain):
        """Confirmations are asked for once for all daemons.

        The time is that of two calls of a reader.
        """
        await asyncio.sleep(0.5)
        domain.clear_calls()
        asked = [each.asked for each in domain.list_readers()]
        seconds = 2 * FEED_SECONDS
        await asyncio.sleep(seconds)
        waiting = seconds / FEED_SECONDS + 1
        confirming = seconds / TARGETS_PACE.due_age + 1
        assert domain.count(FEED) <= MAX_READERS * (waiting + confirming)
        callers = [each for each in domain.followers if each.count(FEED)]
        assert callers == domain.list_readers()
        for before, reader in zip(asked, domain.list_readers(), strict=True):
            each_second = (reader.asked - before) / seconds
            assert each_second <= ASKED_A_SECOND * len(domain.list_others())


class TestOutages:
    """What readers tell about an outage of the store."""

    async def test_entry_lapsed_in_an_outage(self, domain):
        """A daemon that noticed no outage keeps a target that lapsed in it.

        The readers lose the store and read afterwards that the entry is gone;
        the target may still write it again.
        """
        readers = domain.list_readers()
        others = [each for each in domain.followers if each not in readers]
        for reader in readers:
            reader.is_cut_off = True
        domain.fake.put(names.TARGETS_TABLE, 't-2', describe_target())
        await wait_for(
            lambda: all(reader.table.cache.is_cut_off for reader in readers)
        )
        domain.fake.drop(names.TARGETS_TABLE, TARGET)
        for reader in readers:
            reader.is_cut_off = False
        await wait_for(
            lambda: all('t-2' in each.state.targets for each in others)
        )
        assert all(TARGET in each.state.targets for each in others)
        domain.fake.put(names.TARGETS_TABLE, TARGET, describe_target())
        await asyncio.sleep(3)
        assert all(each.knows(leaving=False) for each in others)

    async def test_registration_lost_in_a_restore(self, domain):
        """A daemon that calls no store hears from readers of its restore."""
        follower = next(
            each
            for each in domain.followers
            if each not in domain.list_readers()
        )
        store = follower.table.store
        relay = make_relay(follower.number, 'b:1')
        task = asyncio.ensure_future(
            keep_registered(store, relay, random.Random(1))
        )
        domain.stack.callback(task.cancel)
        await wait_for(
            lambda: b'b:1' in domain.fake.read('daemons', relay.daemon)
        )
        await asyncio.sleep(0.1)
        domain.fake.restore(10, rewrite_after=0.5)
        assert domain.fake.read('daemons', relay.daemon) is None
        await wait_for(lambda: domain.fake.read('daemons', relay.daemon))
        assert not follower.count(FEED)


class TestQuietTable:
    """Readers whose rows nobody has confirmed for some seconds."""

    async def test_quiet_readers_delay_the_end_of_a_target(self, domain):
        """Readers that only wait for a change have not lost the store.

        Their followers took the store for just regained, and kept a target
        whose entry was gone, as one that lapses in an outage.
        """
        await asyncio.sleep(TARGETS_PACE.longest_age + TARGETS_PACE.wait)
        domain.fake.drop(names.TARGETS_TABLE, TARGET)
        async with asyncio.timeout(DRAIN_SECONDS):
            await wait_for(
                lambda: (
                    not any(
                        TARGET in each.state.targets
                        for each in domain.followers
                    )
                )
            )


class PatientStore:
    """A store that tells no changes.

    :ivar waits: seconds that each call was to wait.
    """

    newest_era = UNKNOWN_ERA

    def __init__(self) -> None:
        self.waits: list[float] = []

    async def await_changes(self, table, after, *, wait, known_at):
        """Return no changes at the end of the wait."""
        self.waits.append(wait)
        await asyncio.sleep(wait)
        return StoreRows(rows=(), revision=after.revision)


@pytest.mark.looptime
class TestSilentReaders:
    """Calls to the store while readers do not answer."""

    @pytest.mark.parametrize(
        ('readers', 'seconds'),
        [(('127.0.0.1:9',), TARGETS_PACE.wait), ((), FEED_SECONDS)],
    )
    async def test_leaving_target_is_missed_by_a_long_call(
        self, readers, seconds
    ):
        """A follower's call ends in time to hear of targets that leave.

        Seen in a hunt: both readers had lost the store, and the call that a
        daemon then made itself heard nothing for four seconds, while others
        heard of a target that left.
        """

        async def list_readers():
            return readers

        store = PatientStore()
        table = build_shared_table(
            store=store,
            session=None,
            list_readers=list_readers,
            pace=TARGETS_PACE,
            cache=RowCache(),
        )
        for address in readers:
            table.readers.reach.note_silent(address)
        await table.await_changes(
            names.TARGETS_TABLE,
            StorePosition(era=UNKNOWN_ERA, revision=1),
            wait=FEED_SECONDS,
            known_at=0,
        )
        assert store.waits == [seconds]

"""Tests of targets that leave while a daemon is cut off from the store."""

import asyncio
import contextlib
import itertools
import random

import pytest

from fakes.fleet_parts import FLEET, REGIONS, make_target
from fakes.fleet_store import REFUSED, FleetStore
from fakes.memory_fleet import MemoryFleet, MemorySession
from fakes.virtual_clocks import follow_loop
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import LAPSE_SECONDS, TargetList
from ragwortcourse.identifiers import TargetName
from ragwortcourse.platform import names
from ragwortcourse.platform.feed import REGAIN_SECONDS, TableFeed
from ragwortcourse.platform.overlapping_calls import call_overlapping
from ragwortcourse.platform.store import OVERLAP_SECONDS, Store
from ragwortcourse.platform.target_reader import build_target_handler
from ragwortcourse.processes.forwarder_daemon import (
    TARGETS_FEED_SECONDS,
    TARGETS_PAUSE_SECONDS,
)

pytestmark = pytest.mark.looptime
CONTACT_SECONDS = FLEET.contact_ms / 1000
# Time after its acknowledged end in which a target may get requests.
DRAIN_SECONDS = 2.0
# Entries that lapsed are back so long after the return of the store.
REWRITE_SECONDS = 2.0
# Of a call and its answer, at a sound store.
ANSWER_SECONDS = 0.2
STORE = '10.0.0.1:1'
DAEMON = '10.0.0.2:1'
NAME = TargetName('t-1')
ROW = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'near-a',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'born': 1,
}
# Lengths of a cut, so that it ends at each moment between two calls.
LENGTHS = [2.5 + step / 10 for step in range(21)]
CUT_KINDS = ('refused', 'silent')
# A cut without resets is noticed as the call that waits for a change fails.
SILENT_SECONDS = TARGETS_FEED_SECONDS + OVERLAP_SECONDS * 4


@pytest.fixture(autouse=True)
def _virtual_clocks():
    with follow_loop():
        yield


class Site:
    """A store, and a daemon that follows the targets in virtual time."""

    def __init__(self, seed: int) -> None:
        self.fake = FleetStore(read_clock=read_clock)
        self.network = MemoryFleet(rng=random.Random(seed))
        self.network.listen(STORE, self.fake.build_routes())
        self.state = FleetState()
        self._rng = random.Random(seed)

    @contextlib.asynccontextmanager
    async def follow(self):
        """Follow the targets, one of which is listed."""
        self.fake.put(names.TARGETS_TABLE, NAME, ROW)
        feed = TableFeed(
            store=Store(
                session=MemorySession(fleet=self.network, own=DAEMON),
                address=STORE,
            ),
            table=names.TARGETS_TABLE,
            wait=TARGETS_FEED_SECONDS,
            pause=TARGETS_PAUSE_SECONDS,
            handler=build_target_handler(
                TargetList(state=self.state, contact_seconds=CONTACT_SECONDS),
                REGIONS,
            ),
            rng=self._rng,
        )
        task = asyncio.ensure_future(feed.follow())
        await asyncio.sleep(1)
        assert self.knows()
        yield
        task.cancel()

    def knows(self) -> bool:
        """Tell whether the target is listed."""
        return NAME in self.state.targets

    async def cut(self, kind: str, seconds: float) -> None:
        """Keep the daemon from the store, by refusals or without answers."""
        ways = {(STORE, DAEMON), (DAEMON, STORE)}
        if kind == 'refused':
            self.fake.down = True
        else:
            self.network.cut |= ways
        await asyncio.sleep(seconds)
        self.fake.down = False
        self.network.cut -= ways

    async def end_before(self, seconds: float, length: float) -> None:
        """Let the entry end so long before the end of a cut."""
        await asyncio.sleep(length - seconds)
        self.fake.drop(names.TARGETS_TABLE, NAME)


@pytest.mark.parametrize('length', LENGTHS)
class TestOwnCuts:
    """Daemons that are cut off from a store that is never away."""

    @pytest.mark.parametrize('kind', CUT_KINDS)
    async def test_target_that_left_is_kept_beyond_contact(self, kind, length):
        """DRAIN: a target that left was used after the daemon was in touch.

        The daemon took its own cut for an outage of the store, and the end of
        the entry for one that had lapsed.
        """
        if kind == 'silent':
            length += SILENT_SECONDS
        site = Site(seed=round(length * 10))
        async with site.follow():
            cut = asyncio.create_task(site.cut(kind, length))
            await site.end_before(0.5, length)
            await cut
            await asyncio.sleep(CONTACT_SECONDS)
            assert not site.knows()


@pytest.mark.parametrize('length', LENGTHS)
@pytest.mark.parametrize('kind', CUT_KINDS)
class TestOutages:
    """Outages of the store itself, in which entries lapse."""

    async def test_living_target_is_dropped(self, kind, length):
        """A target that is back in time after an outage is listed all along.

        Guards against a hold that ends too early to bear an outage.
        """
        length += SILENT_SECONDS
        site = Site(seed=round(length * 10))
        async with site.follow():
            outage = asyncio.create_task(site.cut(kind, length))
            await site.end_before(0.1, length)
            await outage
            ends_at = read_clock() + REWRITE_SECONDS
            while read_clock() < ends_at:
                assert site.knows()
                await asyncio.sleep(0.02)
            site.fake.put(names.TARGETS_TABLE, NAME, ROW)
            await asyncio.sleep(LAPSE_SECONDS)
            assert site.knows()


class TestBounds:
    """Waits after the return of the store, added up."""

    def test_sum_of_the_waits(self):
        """The pause, the answer and the hold end before a daemon's bound."""
        pause = max(REGAIN_SECONDS, OVERLAP_SECONDS)
        assert pause + ANSWER_SECONDS + LAPSE_SECONDS <= CONTACT_SECONDS
        assert pause + LAPSE_SECONDS <= CONTACT_SECONDS + DRAIN_SECONDS

    async def test_hold_after_a_late_answer(self):
        """The end of an entry is not held beyond the bound of the daemon."""
        state = FleetState()
        targets = TargetList(state=state, contact_seconds=CONTACT_SECONDS)
        targets.note_target(make_target(NAME))
        targets.note_store_back(0, CONTACT_SECONDS - 0.5)
        targets.note_missing(NAME)
        await asyncio.sleep(0.4)
        assert state.targets
        await asyncio.sleep(0.2)
        assert not state.targets


class TestOlderEntryThatLeaves:
    """Entries that look older, and say that their target leaves."""

    async def test_leaving_is_held_back(self):
        """DRAIN: a leaving entry on older weights was held as an old copy.

        Seen in a hunt: its end came with it, and was held as well, as the
        target was not known to leave.
        """
        state = FleetState()
        targets = TargetList(state=state)
        known = make_target(NAME)
        targets.note_target(known)
        targets.note_store_back()
        leaving = make_target(NAME, weights=None, leaving=True)
        targets.note_target(leaving)
        assert state.targets[NAME].leaving
        targets.note_missing(NAME)
        assert not state.targets


class TestOverlappingCalls:
    """Calls that overlap until the first of them ends."""

    async def test_later_call_is_answered_first(self):
        """The answer tells when its call was sent; the others are cancelled."""
        numbers = itertools.count()
        cancelled = []

        async def call(note_arriving) -> int:
            number = next(numbers)
            try:
                await asyncio.sleep(0.1 if number == 2 else 60)
            except asyncio.CancelledError:
                cancelled.append(number)
                raise
            return number

        answer, sent_after = await call_overlapping(call, every=0.5)
        await asyncio.sleep(0)
        assert answer == 2
        assert sent_after == pytest.approx(1)
        assert cancelled == [0, 1]

    async def test_error(self):
        """An error of a call is the error of all."""

        async def call(note_arriving) -> int:
            raise ValueError(REFUSED)

        with pytest.raises(ValueError, match=str(REFUSED)):
            await call_overlapping(call, every=0.5)

    async def test_answer_arrives(self):
        """No call is added to a line that is busy with an answer.

        Incident: daemons whose line was full asked for the same rows twice a
        second, and the line carried nothing else for ten seconds.
        """
        sent = []

        async def call(note_arriving) -> int:
            sent.append(len(sent))
            note_arriving()
            await asyncio.sleep(3)
            return 1

        answer, _ = await call_overlapping(call, every=0.5)
        assert answer == 1
        assert sent == [0]

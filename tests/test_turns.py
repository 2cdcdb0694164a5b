"""Tests of :mod:`ragwortcourse.forwarding.scheduling.turns`."""

import asyncio
import dataclasses
import json

import msgspec
import pytest

from fakes.fleet_parts import (
    ENGINES,
    FAR_DOMAIN,
    KEY,
    NEAR_DOMAIN,
    PLAIN_SHARE,
    REGIONS,
    make_desired,
    make_forwarder,
    make_permitted_call,
    make_route,
    make_state,
    make_target,
)
from fakes.virtual_clocks import follow_loop
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.choice import choose_target
from ragwortcourse.forwarding.reply import Reason
from ragwortcourse.forwarding.scheduling.scheduling import Scheduling
from ragwortcourse.forwarding.scheduling.service_demand import ServiceDemand
from ragwortcourse.forwarding.scheduling.turns import Turn
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.tries import Tries

pytestmark = pytest.mark.looptime
URGENT = make_route(name='urgent', prefix='/urgent/', priority=0)
ROUTE = make_route(priority=1)
ENGINE_COUNT = 12
# More requests than are sent to an engine of 16 slots.
CROWD = 40


class Crowded:
    """Forwarder whose engines are full."""

    def __init__(self) -> None:
        targets = [make_target(f't-{each}') for each in range(ENGINE_COUNT)]
        self.state = make_state(*targets)
        self.state.desired = make_desired(URGENT, ROUTE)
        self.forwarder = make_forwarder(self.state, None)
        self.loads = [self.forwarder.find_load(target) for target in targets]
        for load in self.loads:
            load.own = CROWD

    @property
    def queue(self):
        """Waiting requests."""
        return self.forwarder.scheduling.services[ENGINES].queue

    async def start(self, route=ROUTE, **changes):
        """Start the turn of a request, which has no room yet."""
        work = make_permitted_call(route, arrived_at=read_clock(), **changes)
        tries = Tries(forwarder=self.forwarder, work=work)
        known = self.forwarder.scheduling.find(ENGINES)

        def choose():
            return choose_target(self.forwarder, tries.work, ENGINES, ())

        turn = Turn(tries=tries, known=known, choose=choose)
        task = asyncio.ensure_future(turn.choose())
        await asyncio.sleep(0.01)
        return task

    async def wake(self) -> None:
        """Let the queue notice a change at once."""
        self.forwarder.scheduling.wake(ENGINES)
        await asyncio.sleep(0.02)


@pytest.fixture
def crowded():
    """Forwarder of a test, whose state stays confirmed."""
    with follow_loop():
        yield Crowded


class TestScheduling:
    """Services that are scheduled."""

    async def test_pace(self):
        """A service whose targets report a pace later on is scheduled, too."""
        paced = set()
        scheduling = Scheduling(
            state=make_state(),
            count_daemons=lambda: 1,
            reports_pace=paced.__contains__,
        )
        assert scheduling.find(ENGINES) is None
        paced.add(ENGINES)
        assert scheduling.find(ENGINES) is not None
        assert ENGINES in scheduling.describe_demand()


class TestTurn:
    """Requests that wait for their turn."""

    async def test_room(self, crowded):
        """A waiting request is sent as soon as there is room."""
        fleet = crowded()
        task = await fleet.start()
        assert sum(fleet.queue.count()) == 1
        for load in fleet.loads:
            load.own = 0
        await fleet.wake()
        assert isinstance(task.result(), Target)
        assert not any(fleet.queue.count())

    async def test_callers_that_leave(self, crowded):
        """Callers that leave shorten nobody's accepted wait.

        Clients that connect and leave could have others refused at once.
        """
        fleet = crowded()
        task = await fleet.start()
        known = fleet.forwarder.scheduling.find(ENGINES)
        urgency = fleet.queue.count().index(1)
        share = known.confidence.read(urgency, read_clock())
        task.cancel()
        await asyncio.sleep(0.01)
        later = known.confidence.read(urgency, read_clock())
        assert later == pytest.approx(share)

    async def test_other_homes(self, crowded):
        """A request is not held by one that is allowed in full regions only.

        All requests of its urgency and account would wait behind that one
        while targets elsewhere are free.
        """
        fleet = crowded()
        far = frozenset({REGIONS[FAR_DOMAIN]})
        full = make_target('t-far', failure_domain=FAR_DOMAIN)
        fleet.state.targets[full.name] = full
        fleet.forwarder.find_load(full).own = CROWD
        homebound = dataclasses.replace(
            ROUTE, name='homebound', prefix='/letters/1', regions=far
        )
        fleet.state.desired = make_desired(URGENT, ROUTE, homebound)
        held = await fleet.start(homebound)
        free = await fleet.start(path='/letters/2')
        for load in fleet.loads:
            load.own = 0
        await fleet.wake()
        assert not held.done()
        assert isinstance(free.result(), Target)
        held.cancel()

    async def test_withdrawal(self, crowded):
        """A waiting request is not sent to a withdrawn domain."""
        fleet = crowded()
        task = await fleet.start()
        for load in fleet.loads:
            load.own = 0
        fleet.state.withdrawn = frozenset({NEAR_DOMAIN})
        await fleet.wake()
        assert task.result().reason is Reason.NO_TARGET

    async def test_revoked_key(self, crowded):
        """A key that is revoked while its request waits is not served."""
        fleet = crowded()
        task = await fleet.start(key=KEY)
        fleet.state.desired = dataclasses.replace(
            fleet.state.desired, accounts={}
        )
        for load in fleet.loads:
            load.own = 0
        await fleet.wake()
        assert task.result().reason is Reason.UNKNOWN_KEY

    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({'regions': frozenset({REGIONS[FAR_DOMAIN]})}, Reason.NO_TARGET),
            ({'services': PLAIN_SHARE}, Reason.OVERLOADED),
        ],
    )
    async def test_changed_route(self, crowded, changes, reason):
        """A waiting request goes where its route leads now.

        By the state in force when it came, it could begin in a region or at
        a service that is no longer allowed.
        """
        fleet = crowded()
        task = await fleet.start()
        other = dataclasses.replace(ROUTE, name='other', prefix='/other/')
        fleet.state.desired = make_desired(
            URGENT, other, dataclasses.replace(ROUTE, **changes), version=2
        )
        for load in fleet.loads:
            load.own = 0
        await fleet.wake()
        assert task.result().reason is reason

    async def test_equal_priorities(self, crowded):
        """No request is forgotten when its service is not scheduled any more.

        The queue of such a service is never woken again.
        """
        fleet = crowded()
        task = await fleet.start()
        fleet.state.desired = make_desired(ROUTE)
        fleet.forwarder.scheduling.note_round()
        await asyncio.sleep(0.02)
        assert task.result().reason is Reason.OVERLOADED

    async def test_stop(self, crowded):
        """A stopping daemon refuses what waits, and what would wait."""
        fleet = crowded()
        task = await fleet.start()
        fleet.forwarder.close(ends_at=read_clock() + 4)
        await asyncio.sleep(0)
        assert (await task).reason is Reason.STOPPING
        task = await fleet.start()
        assert task.result().reason is Reason.STOPPING

    async def test_hopeless(self, crowded):
        """A request that can't be sent in time is refused at once."""
        fleet = crowded()
        tasks = [await fleet.start() for _ in range(ENGINE_COUNT * 3)]
        refusal = tasks[-1].result()
        assert refusal.reason is Reason.OVERLOADED
        assert 0 < refusal.retry_after < ROUTE.time_limit / 3
        for task in tasks:
            task.cancel()

    async def test_readable_reason(self, crowded):
        """The line about a request that would wait for ever is JSON.

        Readers of the logs, such as the operators' program, do not take
        infinity for a number, and would skip the line.
        """
        fleet = crowded()
        demand = ServiceDemand(rates=[1000, 0, 0], waiting=[0, 0, 0, 0])
        fleet.forwarder.scheduling.note_message('e-2', {ENGINES: demand}, {})
        refusal = (await fleet.start()).result()
        inputs = msgspec.json.decode(json.dumps(refusal.inputs))
        assert inputs['expected_wait'] is None

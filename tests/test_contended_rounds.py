"""Replay of callers of several priorities that compete for full engines."""

import asyncio

import pytest

from fakes.contended_callers import make_callers
from fakes.contended_fleet import SLOTS, ContendedFleet, replay
from fakes.fleet_parts import ENGINES
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import TargetOccupancy
from ragwortcourse.forwarding.scheduling.reservation import MAX_RESERVED_SHARE
from ragwortcourse.forwarding.scheduling.sending import reserve_slots
from ragwortcourse.forwarding.urgency import LEAST_URGENT

# Requests a second, against 150 that the engines serve.
LOAD = (
    make_callers('A', 73.3),
    make_callers('B', 88.7),
    make_callers('C', 57.3),
    make_callers('C-burst', 57.3 * 1.6, begins=2, ends=5),
)
# Users penalise a kind that is served less often than a less urgent one.
PENALISED_DIFFERENCE = 0.05
REQUIRED_SHARE = 0.25
RELEASE_SECONDS = 2.0


def read_reserved(fleet: ContendedFleet, number: int = 0) -> int:
    """Read the slots that a daemon reserves from its least urgent callers."""
    forwarder = fleet.forwarders[number]
    target = forwarder.state.targets['t-0']
    engine = forwarder.state.desired.services[ENGINES].engine
    place = TargetOccupancy(load=5, slots=target.slots, engine=engine)
    return reserve_slots(forwarder.scheduling, target, place, LEAST_URGENT)


class TestContendedLoad:
    """Callers of three priorities at 41 daemons."""

    def test_urgent_demand_alone_is_too_much(self):
        """A priority is served even if a more urgent one would take all."""
        callers = make_callers('A', 200), make_callers('B', 40)
        outcomes = replay(8, callers).outcomes
        total = outcomes['A'].served + outcomes['B'].served
        asked = outcomes['A'].total + outcomes['B'].total
        share = outcomes['B'].served_share
        assert REQUIRED_SHARE * total / asked <= share
        assert share <= outcomes['A'].served_share

    @pytest.mark.parametrize('seed', [1, 2])
    def test_served_by_priority(self, seed):
        """No priority is served less than a less urgent one, and none starves.

        Each engine was filled with the least urgent requests first.
        """
        outcomes = replay(7, LOAD, seed=seed).outcomes
        total = sum(each.total for each in outcomes.values())
        served = sum(each.served for each in outcomes.values()) / total
        shares = [outcomes[name].served_share for name in 'ABC']
        timely = [outcomes[name].timely_share for name in 'ABC']
        for more, less in ((0, 1), (1, 2)):
            assert shares[more] >= shares[less] - PENALISED_DIFFERENCE
            assert timely[more] >= timely[less]
        assert min(shares) >= REQUIRED_SHARE * served


class TestReserved:
    """Slots that daemons reserve."""

    def test_urgent_demand_ends(self):
        """Slots are given back within two seconds after the urgent demand."""
        seen = []

        async def watch(fleet: ContendedFleet) -> None:
            await asyncio.sleep(3)
            seen.append(read_reserved(fleet))
            await asyncio.sleep(RELEASE_SECONDS)
            seen.append(read_reserved(fleet))

        callers = make_callers('A', 73.3, ends=3), make_callers('C', 20)
        replay(5.5, callers, watch)
        assert seen[0] > 0
        assert seen[1] == 0

    @pytest.mark.parametrize('seed', [1, 4])
    def test_unheard(self, seed):
        """A daemon that hears nobody reserves neither all nor nothing."""
        seen = []

        async def watch(fleet: ContendedFleet) -> None:
            for _ in range(6):
                await asyncio.sleep(0.5)
                seen.append(read_reserved(fleet))

        replay(3.5, LOAD, watch, seed=seed, hears=lambda _, hearer: hearer)
        assert max(seen) <= SLOTS * MAX_RESERVED_SHARE
        assert min(seen[2:]) > 0


class TestStoppedDaemon:
    """Daemons that end while requests wait and others count on them."""

    def test_dead(self):
        """What a dead daemon reported does not keep slots or capacity."""
        seen = []

        async def watch(fleet: ContendedFleet) -> None:
            await asyncio.sleep(1.5)
            fleet.alive.remove(1)
            fleet.rounds[1].cancel()
            for seconds in (0.5, 1.5):
                await asyncio.sleep(seconds)
                others = fleet.forwarders[0].scheduling.others
                seen.append(others.sum(ENGINES, read_clock()).daemons)

        replay(4, LOAD, watch, daemons=9, engines=4)
        assert seen == [8, 7]

    def test_stop(self):
        """A daemon that stops refuses what waits, and others serve it."""
        seen = []

        async def watch(fleet: ContendedFleet) -> None:
            forwarder = fleet.forwarders[1]
            await asyncio.sleep(0.5)
            queue = forwarder.scheduling.services[ENGINES].queue
            while not any(queue.count()):
                await asyncio.sleep(0.01)
            forwarder.close(ends_at=read_clock() + 4)
            await asyncio.sleep(0.01)
            for _ in range(100):
                seen.append(sum(queue.count()))
                await asyncio.sleep(0.01)

        fleet = replay(4, LOAD, watch, daemons=9, engines=4)
        assert len(seen) == 100
        assert not any(seen)
        assert fleet.outcomes['A'].served_share >= REQUIRED_SHARE

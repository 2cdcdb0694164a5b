"""Tests of :mod:`ragwortcourse.forwarding.store_watch`."""

import asyncio
import math

import pytest

from fakes.fleet_parts import make_state
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.store_watch import StoreWatch

pytestmark = pytest.mark.looptime
DAEMONS = [f'entry-{number}' for number in range(9)]


def make_watch(*, lost: bool) -> tuple[StoreWatch, object]:
    """A watch of a daemon that has, or has not, lost the store."""
    state = make_state()
    state.store_lost = lost
    return StoreWatch(state=state), state


class TestStoreWatch:
    """Whether the store is away for all."""

    async def test_away_for_most(self):
        """The store is away where most daemons say so."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:7]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert state.store_outage_at == pytest.approx(
            read_clock_with_suspend(), abs=0.01
        )

    async def test_own_cut(self):
        """A daemon that is cut off alone, or with its domain, is no outage."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:4]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        for daemon in DAEMONS[4:]:
            watch.note_peer(daemon, lost=False, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_nobody_heard(self):
        """A daemon that hears nobody judges nothing."""
        watch, state = make_watch(lost=True)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_old_words(self):
        """What daemons said long ago does not count."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        await asyncio.sleep(2)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_heard(self):
        """A daemon is alive while it tells something now and then."""
        watch, _ = make_watch(lost=False)
        assert not watch.is_heard(DAEMONS[1])
        watch.note_peer(DAEMONS[1], lost=False, stable_for=None)
        await asyncio.sleep(1)
        assert watch.is_heard(DAEMONS[1])
        await asyncio.sleep(1)
        assert not watch.is_heard(DAEMONS[1])

    async def test_own_store_answers(self):
        """A daemon that reaches the store sees no outage."""
        watch, state = make_watch(lost=False)
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_told_by_others(self):
        """A daemon that just started learns of the outage from others."""
        watch, state = make_watch(lost=False)
        watch.note_peer(DAEMONS[1], lost=False, stable_for=3)
        assert watch.read_stable() == 3
        now = read_clock_with_suspend()
        assert state.store_outage_at == pytest.approx(now - 3, abs=0.01)

    async def test_told_to_and_fro(self):
        """An outage does not come nearer as daemons tell each other of it."""
        watches = [make_watch(lost=False)[0] for _ in range(2)]
        watches[0].note_peer(DAEMONS[2], lost=False, stable_for=3)
        for turn in range(100):
            teller, hearer = watches[turn % 2], watches[(turn + 1) % 2]
            stable_for = teller.read_stable()
            await asyncio.sleep(0.02)
            hearer.note_peer(DAEMONS[1], lost=False, stable_for=stable_for)
        assert watches[0].read_stable() == pytest.approx(5, abs=0.1)

    async def test_daemons_that_start(self):
        """Daemons that have not read the store yet have not lost it.

        Incident: all entry daemons were killed at once and started anew;
        each took the others for cut off from the store, and the bound on
        versions counted from then.
        """
        state = FleetState()
        watch = StoreWatch(state=state)
        for daemon in DAEMONS[1:]:
            watch.note_peer(
                daemon, lost=FleetState().store_lost, stable_for=None
            )
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    @pytest.mark.parametrize('registered', [[], ['entry-0'], DAEMONS[:2]])
    async def test_too_few_to_judge(self, registered):
        """A daemon that knows of too few others judges nothing.

        Incident: a daemon whose list of daemons was still empty found that
        all of none had lost the store, and told the others.
        """
        watch, state = make_watch(lost=True)
        watch.note_peer('entry-1', lost=True, stable_for=None)
        watch.detect_outage(registered)
        assert math.isinf(state.store_outage_at)

    async def test_told_of_what_it_lived_through(self):
        """A daemon that was there itself goes by its own view."""
        watch, state = make_watch(lost=False)
        await asyncio.sleep(60)
        watch.note_peer(DAEMONS[1], lost=False, stable_for=3)
        assert math.isinf(state.store_outage_at)

    async def test_old_but_answered(self):
        """A desired state that is some seconds old is no lost store.

        Incident: with a pause between calls each daemon's state was at times
        2.7 s old, and all of them together took the store for away.
        """
        watch, state = make_watch(lost=False)
        state.confirmed_at -= 3
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=False, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

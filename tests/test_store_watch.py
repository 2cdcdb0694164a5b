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
    """Build the store watch of a daemon.

    :param lost: whether the daemon has lost the store.
    :return: the watch and the state that it updates.
    """
    state = make_state()
    state.store_lost = lost
    if lost:
        state.store_failed_at = read_clock_with_suspend()
    return StoreWatch(state=state), state


class TestStoreWatch:
    """Detection of store outages."""

    async def test_away_for_most(self):
        """A quorum of daemons that lost the store makes an outage."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:7]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert state.store_outage_at == pytest.approx(
            read_clock_with_suspend(), abs=0.01
        )

    async def test_end_of_an_outage(self):
        """An outage ends when the last failed call was sent, not later.

        Incident: soak, seed 4052. A version was announced as the store came
        back. Calls sent before then timed out 1.5 s later, and older versions
        expired as much too late.
        """
        watch, state = make_watch(lost=True)
        sent_at = state.store_failed_at
        await asyncio.sleep(1.5)
        for daemon in DAEMONS[1:7]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert state.store_outage_at == pytest.approx(sent_at, abs=0.01)

    async def test_own_cut(self):
        """Daemons of one partitioned failure domain make no outage."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:4]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        for daemon in DAEMONS[4:]:
            watch.note_peer(daemon, lost=False, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_nobody_heard(self):
        """A daemon without reports of others detects no outage."""
        watch, state = make_watch(lost=True)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_old_words(self):
        """Expired reports do not count."""
        watch, state = make_watch(lost=True)
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        await asyncio.sleep(2)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_heard(self):
        """A daemon counts as heard for a while after each message."""
        watch, _ = make_watch(lost=False)
        assert not watch.has_reported(DAEMONS[1])
        watch.note_peer(DAEMONS[1], lost=False, stable_for=None)
        await asyncio.sleep(1)
        assert watch.has_reported(DAEMONS[1])
        await asyncio.sleep(1)
        assert not watch.has_reported(DAEMONS[1])

    async def test_own_store_answers(self):
        """A daemon that reaches the store itself detects no outage."""
        watch, state = make_watch(lost=False)
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=True, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

    async def test_told_by_others(self):
        """A daemon that just started learns of an outage from others."""
        watch, state = make_watch(lost=False)
        watch.note_peer(DAEMONS[1], lost=False, stable_for=3)
        assert watch.read_seconds_since_outage() == 3
        now = read_clock_with_suspend()
        assert state.store_outage_at == pytest.approx(now - 3, abs=0.01)

    async def test_told_to_and_fro(self):
        """Repeated exchange between daemons does not make an outage newer."""
        watches = [make_watch(lost=False)[0] for _ in range(2)]
        watches[0].note_peer(DAEMONS[2], lost=False, stable_for=3)
        for turn in range(100):
            teller, hearer = watches[turn % 2], watches[(turn + 1) % 2]
            stable_for = teller.read_seconds_since_outage()
            await asyncio.sleep(0.02)
            hearer.note_peer(DAEMONS[1], lost=False, stable_for=stable_for)
        assert watches[0].read_seconds_since_outage() == pytest.approx(
            5, abs=0.1
        )

    async def test_daemons_that_start(self):
        """Daemons that have not read the store yet have not lost it.

        Incident: all entry daemons were killed at once and restarted. Each
        daemon took the others as cut off from the store, and the bound on
        versions restarted.
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
        """A daemon that knows too few others detects no outage.

        Incident: a daemon with a still empty list of daemons found a quorum
        of zero daemons and reported an outage to the others.
        """
        watch, state = make_watch(lost=True)
        watch.note_peer('entry-1', lost=True, stable_for=None)
        watch.detect_outage(registered)
        assert math.isinf(state.store_outage_at)

    async def test_told_of_what_it_lived_through(self):
        """A daemon ignores reported outages from after its own start."""
        watch, state = make_watch(lost=False)
        await asyncio.sleep(60)
        watch.note_peer(DAEMONS[1], lost=False, stable_for=3)
        assert math.isinf(state.store_outage_at)

    async def test_old_but_answered(self):
        """A desired state that is some seconds old does not mean an outage.

        Incident: with a pause between calls to the store, the state of each
        daemon was at times 2.7 s old, and the daemons detected an outage.
        """
        watch, state = make_watch(lost=False)
        state.confirmed_at -= 3
        for daemon in DAEMONS[1:]:
            watch.note_peer(daemon, lost=False, stable_for=None)
        watch.detect_outage(DAEMONS)
        assert math.isinf(state.store_outage_at)

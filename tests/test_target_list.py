"""Tests of :mod:`ragwortcourse.forwarding.target_list`."""

import asyncio
import dataclasses

import pytest

from fakes.fleet_parts import make_target
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target import HeldWeights, Target
from ragwortcourse.forwarding.target_list import LAPSE_SECONDS, TargetList
from ragwortcourse.identifiers import TargetName

pytestmark = pytest.mark.looptime
NAME = TargetName('t-1')
# Time in which a leaving target may still get requests.
FLEET_DRAIN_SECONDS = 2.0


@pytest.fixture
def state() -> FleetState:
    """State of a daemon without targets."""
    return FleetState()


@pytest.fixture
def targets(state) -> TargetList:
    """Target list of the daemon with one target."""
    known = TargetList(state=state)
    known.note_target(make_target())
    return known


class TestTargetList:
    """Changes and losses of entries."""

    async def test_notify(self, state):
        """The callback gets each new or changed entry once."""
        told = []
        known = TargetList(state=state, notify=told.append)
        first = make_target(cold_seconds=5)
        changed = dataclasses.replace(first, slots=3)
        reborn = dataclasses.replace(first, born=2)
        for target in (first, first, changed, reborn, reborn):
            known.note_target(target)
        assert told == [first, changed, reborn]

    async def test_gone(self, targets, state):
        """A target whose entry ends is removed at once."""
        targets.note_missing(NAME)
        assert not state.targets

    async def test_lapsed(self, targets, state):
        """A missing entry is kept for a while right after an outage."""
        targets.note_store_back()
        targets.note_missing(NAME)
        assert NAME in state.targets
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        # The store has sent nothing since.
        assert not state.targets

    async def test_gone_after_the_backlog(self, targets, state):
        """An entry that ends after the return of the store is kept less long.

        Incident: a target left a second after a daemon had regained the store
        and got a request 2.1 s later, although only 2 s are allowed: the
        entry was kept until the next answer of the store.
        """
        targets.note_store_back()
        targets.note_read()
        await asyncio.sleep(0.1)
        targets.note_missing(NAME)
        await asyncio.sleep(FLEET_DRAIN_SECONDS - 0.2)
        assert not state.targets

    async def test_back_in_time(self, targets, state):
        """A lapsed entry that is restored in time stays."""
        targets.note_store_back()
        targets.apply_full_list(())
        await asyncio.sleep(1)
        targets.note_target(make_target())
        await asyncio.sleep(LAPSE_SECONDS)
        targets.note_read()
        assert NAME in state.targets

    async def test_leaving_target_does_not_lapse(self, targets, state):
        """A leaving target is removed at once even after an outage."""
        targets.note_target(dataclasses.replace(make_target(), leaving=True))
        targets.note_store_back()
        targets.note_missing(NAME)
        assert not state.targets

    async def test_long_after_the_outage(self, targets, state):
        """Long after an outage a missing entry is removed at once."""
        targets.note_store_back()
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        targets.note_missing(NAME)
        assert not state.targets


OLDER = [{'born': 1}, {'leaving': False}, {'weights': None}]


@pytest.fixture
def newest(state) -> Target:
    """Target in its newest state, as it was listed before a restore."""
    weights = HeldWeights(version=2, first=0, end=9)
    target = dataclasses.replace(
        make_target(), born=2, leaving=True, weights=weights
    )
    state.targets[target.name] = target
    return target


class TestOlderEntries:
    """Entries of a store that came back from an older copy."""

    @pytest.mark.parametrize('older', OLDER)
    async def test_written_again(self, targets, state, newest, older):
        """An older entry has no effect until the target can write again."""
        targets.note_store_back()
        targets.note_target(dataclasses.replace(newest, **older))
        assert state.targets[NAME] == newest
        await asyncio.sleep(LAPSE_SECONDS / 2)
        targets.note_target(newest)
        await asyncio.sleep(LAPSE_SECONDS)
        assert state.targets[NAME] == newest

    @pytest.mark.parametrize('older', OLDER)
    async def test_not_written_again(self, targets, state, newest, older):
        """An older entry that stays takes effect after that time."""
        entry = dataclasses.replace(newest, **older)
        targets.note_store_back()
        targets.note_target(entry)
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        assert state.targets[NAME] == entry

    async def test_ends_meanwhile(self, targets, state, newest):
        """A target whose older entry ends is removed, not put back."""
        targets.note_store_back()
        targets.note_target(dataclasses.replace(newest, born=1, leaving=False))
        state.targets[NAME] = dataclasses.replace(newest, leaving=False)
        targets.note_missing(NAME)
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        assert not state.targets

    @pytest.mark.parametrize('older', OLDER)
    async def test_no_restore(self, targets, state, newest, older):
        """At other times an entry takes effect at once, also an older one."""
        entry = dataclasses.replace(newest, **older)
        targets.note_target(entry)
        assert state.targets[NAME] == entry

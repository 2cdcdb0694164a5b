"""Tests of :mod:`ragwortcourse.forwarding.target_list`."""

import asyncio
import dataclasses

import pytest

from fakes.fleet_parts import make_target
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target_list import LAPSE_SECONDS, TargetList
from ragwortcourse.identifiers import TargetName

pytestmark = pytest.mark.looptime
NAME = TargetName('t-1')
# Time in which a leaving target may still get requests.
FLEET_DRAIN_SECONDS = 2.0


@pytest.fixture
def state() -> FleetState:
    """State of a daemon."""
    return FleetState()


@pytest.fixture
def targets(state) -> TargetList:
    """Its list, with one target."""
    known = TargetList(state=state)
    known.note_target(make_target())
    return known


class TestTargetList:
    """What becomes of entries."""

    async def test_notify(self, state):
        """Each new or changed entry is told of, once."""
        told = []
        known = TargetList(state=state, notify=told.append)
        first = make_target(cold_seconds=5)
        changed = dataclasses.replace(first, slots=3)
        reborn = dataclasses.replace(first, born=2)
        for target in (first, first, changed, reborn, reborn):
            known.note_target(target)
        assert told == [first, changed, reborn]

    async def test_gone(self, targets, state):
        """A target whose entry ends is gone at once."""
        targets.note_missing(NAME)
        assert not state.targets

    async def test_lapsed(self, targets, state):
        """Right after an outage a missing entry may only have lapsed."""
        targets.regain()
        targets.note_missing(NAME)
        assert NAME in state.targets
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        # Nothing has come from the store meanwhile.
        assert not state.targets

    async def test_gone_after_the_backlog(self, targets, state):
        """An entry that ends after the store's return may be one that leaves.

        Incident: a target that left a second after a daemon had regained the
        store got a request 2.1 s later, 2 s being allowed: its entry was
        kept until the next answer of the store.
        """
        targets.regain()
        targets.note_read()
        await asyncio.sleep(0.1)
        targets.note_missing(NAME)
        await asyncio.sleep(FLEET_DRAIN_SECONDS - 0.2)
        assert not state.targets

    async def test_back_in_time(self, targets, state):
        """A lapsed entry that comes back stays."""
        targets.regain()
        targets.keep_only(())
        await asyncio.sleep(1)
        targets.note_target(make_target())
        await asyncio.sleep(LAPSE_SECONDS)
        targets.note_read()
        assert NAME in state.targets

    async def test_leaving_target_does_not_lapse(self, targets, state):
        """A target that was leaving goes at once, outage or not."""
        targets.note_target(dataclasses.replace(make_target(), leaving=True))
        targets.regain()
        targets.note_missing(NAME)
        assert not state.targets

    async def test_long_after_the_outage(self, targets, state):
        """Later on a missing entry is gone again."""
        targets.regain()
        await asyncio.sleep(LAPSE_SECONDS + 0.1)
        targets.note_missing(NAME)
        assert not state.targets

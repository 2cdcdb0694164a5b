"""Tests of :mod:`ragwortcourse.forwarding.fleet_updates`."""

import logging

import pytest

from fakes.fleet_parts import MODEL, make_desired
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import (
    note_desired,
    note_naming,
    note_weights,
    note_withdrawals,
)
from ragwortcourse.forwarding.named_weights import NamedWeights

pytestmark = pytest.mark.looptime


def name(version: int, seen_at: float = 0, *, observed: bool = True):
    """A version that was named."""
    return NamedWeights(version=version, seen_at=seen_at, observed=observed)


class TestNoteDesired:
    """Desired states."""

    async def test_versions_only_rise(self):
        """A lower or equal version changes nothing."""
        state = FleetState()
        newest = make_desired(version=5)
        note_desired(state, newest)
        for version in (4, 5):
            note_desired(state, make_desired(version=version))
        assert state.desired is newest


class TestNoteWithdrawals:
    """Withdrawn failure domains."""

    async def test_taken_over(self):
        """What is withdrawn is what was read last."""
        state = FleetState()
        note_withdrawals(state, frozenset(('a',)))
        note_withdrawals(state, frozenset(('b',)))
        assert state.withdrawn == {'b'}


class TestNoteWeights:
    """Versions of weights."""

    async def test_versions_only_rise(self):
        """A lower or equal version changes nothing."""
        state = FleetState()
        for version in (2, 1, 2, 3):
            note_weights(state, MODEL, name(version))
        assert [each.version for each in state.weights[MODEL]] == [2, 3]


class TestNoteNaming:
    """What other daemons say of when a version was named."""

    async def test_assumed_time_is_replaced(self):
        """An assumed time gives way to one that was observed."""
        state = FleetState()
        note_weights(state, MODEL, name(2, -5, observed=False))
        note_naming(state, MODEL, name(2, -1))
        assert state.weights[MODEL] == (name(2, -1),)

    async def test_logged(self, caplog):
        """The line tells what was assumed, and what is believed now."""
        state = FleetState()
        note_weights(state, MODEL, name(2, -5, observed=False))
        with caplog.at_level(logging.INFO):
            note_naming(state, MODEL, name(2, -1))
        line = caplog.records[-1]
        assert line.getMessage() == 'naming told by another daemon'
        assert line.assumed_seconds_ago - line.seconds_ago == 4

    async def test_observed_time_stays(self):
        """An observed time stays, whatever others say."""
        state = FleetState()
        note_weights(state, MODEL, name(2, -1))
        note_naming(state, MODEL, name(2, -5))
        assert state.weights[MODEL] == (name(2, -1),)

    async def test_unknown_version(self):
        """A daemon that is cut off from the store learns of versions.

        Incident: a daemon that knew of no version of a model kept an empty
        entry for it, and ended as it looked for the newest one.
        """
        state = FleetState()
        note_naming(state, MODEL, name(2))
        assert state.weights[MODEL] == (name(2),)

    async def test_older_version(self):
        """An older version that others still speak of adds nothing."""
        state = FleetState()
        note_weights(state, MODEL, name(3))
        note_naming(state, MODEL, name(2))
        assert state.weights[MODEL] == (name(3),)

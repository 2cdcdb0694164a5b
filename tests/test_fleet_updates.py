"""Tests of :mod:`ragwortcourse.forwarding.fleet_updates`."""

import logging
import math

import pytest

from fakes.fleet_parts import MODEL, make_desired
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import (
    note_desired,
    note_history,
    note_weights,
    note_withdrawals,
)
from ragwortcourse.forwarding.named_weights import (
    NamedWeights,
    VersionHistory,
)

pytestmark = pytest.mark.looptime


def name(version: int, seen_at: float = 0, *, observed: bool = True):
    """A version that was named."""
    return NamedWeights(version=version, seen_at=seen_at, observed=observed)


def tell(*versions: NamedWeights, since: float = math.inf):
    """What another daemon knows of the model's versions."""
    return VersionHistory(versions={MODEL: versions}, since=since)


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


class TestNoteHistory:
    """What other daemons say of when versions were named."""

    async def test_assumed_time_is_replaced(self):
        """An assumed time gives way to one that was observed."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, name(2, -5, observed=False))
        note_history(state, tell(name(2, -1), since=-60))
        assert state.weights[MODEL] == (name(2, -1),)

    async def test_logged(self, caplog):
        """The line tells what was assumed, and what is believed now."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, name(2, -5, observed=False))
        with caplog.at_level(logging.INFO):
            note_history(state, tell(name(2, -1), since=-60))
        line = caplog.records[-1]
        assert line.getMessage() == 'naming told by another daemon'
        assert line.assumed_seconds_ago - line.seconds_ago == 4

    async def test_told_again(self, caplog):
        """What is known already leaves no line."""
        state = FleetState(versions_complete_since=0)
        note_history(state, tell(name(2, -5, observed=False), since=-60))
        caplog.clear()
        note_history(state, tell(name(2, -6, observed=False), since=-60))
        assert not caplog.records

    @pytest.mark.parametrize('since', [-60, 60])
    @pytest.mark.parametrize(('told', 'kept'), [(-5, -5), (-1.1, -1), (0, -1)])
    async def test_earlier_time_counts(self, since, told, kept):
        """Of two observed times the earlier one counts, from everybody.

        A daemon that stood still takes what it reads late for new.
        """
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, name(2, -1))
        note_history(state, tell(name(2, told), since=since))
        assert state.weights[MODEL] == (name(2, kept),)

    async def test_own_reading_counts(self):
        """What a daemon sees itself replaces what another one assumed."""
        state = FleetState(versions_complete_since=0)
        note_history(state, tell(name(2, -5, observed=False), since=20))
        note_weights(state, MODEL, name(2, -1))
        assert state.weights[MODEL] == (name(2, -1),)

    async def test_own_reading_is_earlier(self):
        """What a daemon sees itself replaces a later time that it was told."""
        state = FleetState(versions_complete_since=0)
        note_history(state, tell(name(2, 4), since=-60))
        note_weights(state, MODEL, name(2, 0))
        assert state.weights[MODEL] == (name(2, 0),)

    async def test_unknown_version(self):
        """A daemon that is cut off from the store learns of versions.

        Incident: a daemon that knew of no version of a model kept an empty
        entry for it, and ended as it looked for the newest one.
        """
        state = FleetState()
        note_history(state, tell(name(2)))
        assert state.weights[MODEL] == (name(2),)

    async def test_no_versions(self):
        """A model without versions adds nothing."""
        state = FleetState()
        note_history(state, tell(since=-60))
        assert not state.weights

    async def test_version_before_the_start(self):
        """An older version is known with the time of the newest one."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, name(3, -5, observed=False))
        note_history(state, tell(name(2, -4), name(3, -1), since=-60))
        assert state.weights[MODEL] == (name(2, -4), name(3, -1))

    @pytest.mark.parametrize('since', [0, 1, math.inf])
    async def test_daemon_that_started_later(self, since):
        """A daemon that has read the rows for less long moves no bound back.

        It may have missed versions in between, so that its word is no reason
        to give the assumed time up.
        """
        state = FleetState(versions_complete_since=0)
        assumed = name(3, -5, observed=False)
        note_weights(state, MODEL, assumed)
        told = (name(1, -9, observed=False), name(2), name(3, -1))
        note_history(state, tell(*told, since=since))
        assert state.weights[MODEL] == (name(2), assumed)

    async def test_newer_versions(self):
        """Newer versions are taken over from everybody."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, name(1))
        told = (name(2, 15, observed=False), name(3, 21))
        note_history(state, tell(*told, since=20))
        assert state.weights[MODEL] == (name(1), *told)

    async def test_quick_succession(self):
        """No version is dropped while its bound may still run."""
        state = FleetState(versions_complete_since=0)
        told = [name(version, version) for version in range(2, 12)]
        note_history(state, tell(*told, since=-60))
        assert state.weights[MODEL] == tuple(told)

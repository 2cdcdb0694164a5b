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
    AnnouncedVersion,
    VersionHistory,
)

pytestmark = pytest.mark.looptime


def make_version(version: int, seen_at: float = 0, *, observed: bool = True):
    """Build an announced version."""
    return AnnouncedVersion(version=version, seen_at=seen_at, observed=observed)


def make_history(*versions: AnnouncedVersion, since: float = math.inf):
    """Build the history that another daemon reports for the model."""
    return VersionHistory(versions={MODEL: versions}, since=since)


class TestNoteDesired:
    """Updates of the desired state."""

    async def test_versions_only_rise(self):
        """A lower or equal version changes nothing."""
        state = FleetState()
        newest = make_desired(version=5)
        note_desired(state, newest)
        for version in (4, 5):
            note_desired(state, make_desired(version=version))
        assert state.desired is newest


class TestNoteWithdrawals:
    """Updates of the withdrawn failure domains."""

    async def test_taken_over(self):
        """The last read set replaces the one before."""
        state = FleetState()
        note_withdrawals(state, frozenset(('a',)))
        note_withdrawals(state, frozenset(('b',)))
        assert state.withdrawn == {'b'}


class TestNoteWeights:
    """Versions from the operators' rows."""

    async def test_versions_only_rise(self):
        """A lower or equal version changes nothing."""
        state = FleetState()
        for version in (2, 1, 2, 3):
            note_weights(state, MODEL, make_version(version))
        assert [each.version for each in state.weights[MODEL]] == [2, 3]


class TestNoteHistory:
    """Versions and times reported by other daemons."""

    async def test_assumed_time_is_replaced(self):
        """An observed time replaces an assumed one."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, make_version(2, -5, observed=False))
        note_history(state, make_history(make_version(2, -1), since=-60))
        assert state.weights[MODEL] == (make_version(2, -1),)

    async def test_logged(self, caplog):
        """The log line has the assumed and the new time."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, make_version(2, -5, observed=False))
        with caplog.at_level(logging.INFO):
            note_history(state, make_history(make_version(2, -1), since=-60))
        line = caplog.records[-1]
        assert line.getMessage() == 'weights version reported by another daemon'
        assert line.assumed_seconds_ago - line.seconds_ago == 4

    async def test_told_again(self, caplog):
        """A report of known versions is not logged."""
        state = FleetState(versions_complete_since=0)
        note_history(
            state, make_history(make_version(2, -5, observed=False), since=-60)
        )
        caplog.clear()
        note_history(
            state, make_history(make_version(2, -6, observed=False), since=-60)
        )
        assert not caplog.records

    @pytest.mark.parametrize('since', [-60, 60])
    @pytest.mark.parametrize(('told', 'kept'), [(-5, -5), (-1.1, -1), (0, -1)])
    async def test_earlier_time_counts(self, since, told, kept):
        """Of two observed times the earlier one counts, from any daemon.

        A daemon that was stalled reads old messages late and takes them as
        new.
        """
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, make_version(2, -1))
        note_history(state, make_history(make_version(2, told), since=since))
        assert state.weights[MODEL] == (make_version(2, kept),)

    async def test_own_reading_counts(self):
        """An own observation replaces a time assumed by another daemon."""
        state = FleetState(versions_complete_since=0)
        note_history(
            state, make_history(make_version(2, -5, observed=False), since=20)
        )
        note_weights(state, MODEL, make_version(2, -1))
        assert state.weights[MODEL] == (make_version(2, -1),)

    async def test_own_reading_is_earlier(self):
        """An own observation replaces a later reported time."""
        state = FleetState(versions_complete_since=0)
        note_history(state, make_history(make_version(2, 4), since=-60))
        note_weights(state, MODEL, make_version(2, 0))
        assert state.weights[MODEL] == (make_version(2, 0),)

    async def test_unknown_version(self):
        """A daemon without access to the store learns versions from others.

        Incident: a daemon that knew no version of a model kept an empty entry
        for the model and crashed on looking up the newest version.
        """
        state = FleetState()
        note_history(state, make_history(make_version(2)))
        assert state.weights[MODEL] == (make_version(2),)

    async def test_no_versions(self):
        """A reported model without versions is ignored."""
        state = FleetState()
        note_history(state, make_history(since=-60))
        assert not state.weights

    async def test_version_before_the_start(self):
        """A report adds an older version and corrects the newest one's time."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, make_version(3, -5, observed=False))
        note_history(
            state,
            make_history(make_version(2, -4), make_version(3, -1), since=-60),
        )
        assert state.weights[MODEL] == (
            make_version(2, -4),
            make_version(3, -1),
        )

    @pytest.mark.parametrize('since', [0, 1, math.inf])
    async def test_daemon_that_started_later(self, since):
        """A daemon that read the rows for a shorter time delays no bound.

        That daemon may have missed intermediate versions, so its report does
        not replace the assumed time.
        """
        state = FleetState(versions_complete_since=0)
        assumed = make_version(3, -5, observed=False)
        note_weights(state, MODEL, assumed)
        told = (
            make_version(1, -9, observed=False),
            make_version(2),
            make_version(3, -1),
        )
        note_history(state, make_history(*told, since=since))
        assert state.weights[MODEL] == (make_version(2), assumed)

    async def test_newer_versions(self):
        """Newer versions are accepted from any daemon."""
        state = FleetState(versions_complete_since=0)
        note_weights(state, MODEL, make_version(1))
        told = (make_version(2, 15, observed=False), make_version(3, 21))
        note_history(state, make_history(*told, since=20))
        assert state.weights[MODEL] == (make_version(1), *told)

    async def test_quick_succession(self):
        """No version is dropped while its bound may still run."""
        state = FleetState(versions_complete_since=0)
        told = [make_version(version, version) for version in range(2, 12)]
        note_history(state, make_history(*told, since=-60))
        assert state.weights[MODEL] == tuple(told)

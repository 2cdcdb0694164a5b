"""Rounds of announced versions, with restarts and cuts around them."""

import dataclasses
import math

import pytest

from fakes.version_rounds import play_round
from ragwortcourse.forwarding import load_exchange
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import note_history
from ragwortcourse.forwarding.named_weights import VersionHistory
from ragwortcourse.forwarding.store_watch import StoreWatch

SEEDS = (2, 7, 19, 23)


def note_newest_only(
    state: FleetState, history: VersionHistory, **fields: object
) -> None:
    """Take only the newest version of a history, from whoever tells it."""
    newest = {model: each[-1:] for model, each in history.versions.items()}
    known = dataclasses.replace(history, versions=newest, since=-math.inf)
    note_history(state, known)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_request_begins_on_expired_weights(seed):
    """No daemon in touch lets requests begin on expired weights."""
    played = play_round(seed)
    assert played.findings == []


class TestChecks:
    """Checks of the rounds find what they look for."""

    def test_finds_a_version_forgotten_at_a_restart(self, monkeypatch):
        """A restarted daemon that never learns of a version is found."""
        monkeypatch.setattr(load_exchange, 'note_history', note_newest_only)
        assert any(play_round(seed).findings for seed in range(1, 31))

    def test_finds_an_outage_that_was_none(self, monkeypatch):
        """Daemons that call each failed call an outage are found."""

        def believe(self, registered):
            if self._state.store_lost:
                self._state.store_outage_at = self._state.store_failed_at

        monkeypatch.setattr(StoreWatch, 'detect_outage', believe)
        assert any(play_round(seed).findings for seed in range(1, 31))

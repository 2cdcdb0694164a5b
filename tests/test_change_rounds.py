"""Rounds of changes around requests of every kind."""

import dataclasses

import pytest

from fakes.change_rounds import list_kinds, play_round
from ragwortcourse.forwarding import calls, choice, try_lane
from ragwortcourse.forwarding.permission import permit_call
from ragwortcourse.processes.forwarder_daemon import ForwarderDaemon

# Rounds in which several changes follow each other.
SEEDS = (2, 7, 11, 18, 39, 57, 60, 106, 124, 2001, 2002, 2003)
# Rounds in which sound targets fall silent and go on.
SILENT_SEEDS = (1, 12)


def find(kind: str, seeds: int = 12) -> list[str]:
    """Play rounds without silences around one kind of change."""
    return [
        finding
        for seed in range(1, 1 + seeds)
        for finding in play_round(seed, silences=False, kinds=(kind,)).findings
    ]


@pytest.mark.parametrize('seed', SEEDS)
def test_each_whole_request_is_answered(seed):
    """Each whole request gets a complete answer or a true refusal."""
    assert play_round(seed, silences=False).findings == []


@pytest.mark.parametrize('kind', list_kinds())
def test_beside_each_kind_of_change(kind):
    """Each whole request is answered beside each kind of change."""
    assert find(kind, seeds=1) == []


@pytest.mark.parametrize('seed', SILENT_SEEDS)
def test_targets_that_fall_silent_and_go_on(seed):
    """The silence of a sound target ends no request."""
    assert play_round(seed).findings == []


class TestChecks:
    """Checks of the rounds find what they look for."""

    def test_finds_a_drain_that_does_not_wait(self, monkeypatch):
        """A daemon that stops at once is found."""

        async def drain(self):
            self.draining = True

        monkeypatch.setattr(ForwarderDaemon, 'drain', drain)
        assert find('SIGTERM')

    def test_finds_what_a_change_removed(self, monkeypatch):
        """A request that reads the rules of a removed service is found."""

        def choose(forwarder, work, service, tried, silence):
            assert service in forwarder.state.desired.services
            return choice.choose_target(
                forwarder, work, service, tried, silence
            )

        monkeypatch.setattr(try_lane, 'choose_target', choose)
        assert any('answer 500' in each for each in find('service gone'))

    def test_finds_a_moved_time_limit(self, monkeypatch):
        """A request that takes over a shorter time limit is found."""
        limits = []
        accept = calls._accept

        def note_limit(call, route, account, body):
            limits.append(route.time_limit)
            shorter = dataclasses.replace(route, time_limit=min(limits))
            return accept(call, shorter, account, body)

        monkeypatch.setattr(calls, '_accept', note_limit)
        assert any('504 before' in each for each in find('timeouts shorter'))

    def test_finds_a_lost_key(self, monkeypatch):
        """A key that is called unknown beside a change is found."""

        def permit(state, fleet, call):
            if state.desired.version > 1:
                state.desired.accounts.clear()
            return permit_call(state, fleet, call)

        monkeypatch.setattr('fakes.change_rounds.permit_call', permit)
        assert any('401 though' in each for each in find('weights'))

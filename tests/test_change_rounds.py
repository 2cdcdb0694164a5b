"""Rounds of changes around requests of every kind."""

import dataclasses

import pytest

from fakes.change_judge import Asked, Circumstances, judge
from fakes.change_plans import RequestPlan, RunPlan
from fakes.change_rounds import list_kinds, play_round
from fakes.change_state import RouteName
from fakes.change_target import Run, RunEnd
from fakes.raw_caller import RawReply
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


def judge_cut(*runs: Run) -> str | None:
    """Judge a stream that was cut after 3 s of its 6."""
    return judge(
        Asked(
            plan=RequestPlan(
                attempt='100',
                route=RouteName('letters'),
                after=0,
                deadline=6.0,
                body_pauses=(0,),
                reuses=False,
                shared_parts=(),
                runs=(RunPlan(pauses=(0.1,) * 5),),
            ),
            reply=RawReply(began_at=0, sent_at=0, ended_at=3.0, status=200),
            runs=runs,
            limit_at=6.0,
            may_repeat=True,
            transit=0.001,
        ),
        Circumstances(refusable=(), grace_seconds=8),
    )


def end_run(target: str, end: RunEnd, at: float | None) -> Run:
    """Build a run that ended at a time."""
    return Run(attempt='100', target=target, began_at=0, end=end, ended_at=at)


class TestExcuses:
    """Requests that are cut after a target broke off."""

    def test_no_target_after_it(self):
        """Nothing is found if the last target broke off."""
        broken = end_run('w-0', RunEnd.BROKE_OFF, 2.99)
        assert judge_cut(broken) is None
        assert judge_cut(end_run('w-1', RunEnd.LEFT, 1.0), broken) is None
        declined = end_run('w-1', RunEnd.DECLINED, 3.0)
        assert judge_cut(broken, declined) is None

    @pytest.mark.parametrize(
        ('end', 'at'), [(RunEnd.LEFT, 3.001), (RunEnd.RUNNING, None)]
    )
    def test_sound_target_after_it(self, end, at):
        """A target that had the request later excuses nothing."""
        broken = end_run('w-0', RunEnd.BROKE_OFF, 1.0)
        assert 'answer cut' in judge_cut(broken, end_run('w-1', end, at))

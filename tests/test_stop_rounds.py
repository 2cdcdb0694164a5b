"""Rounds in which one of several daemons is stopped in calm."""

import dataclasses

import pytest

from fakes.change_plans import Breach, RequestPlan, RunPlan
from fakes.change_state import RouteName
from fakes.stop_rounds import play_stop
from ragwortcourse.forwarding.call_scopes import CallScopes
from ragwortcourse.processes import forwarder_daemon
from ragwortcourse.processes.forwarder_daemon import ForwarderDaemon

SEEDS = (1, 5, 8, 11, 25)
# Rounds of a busy daemon, which handles SIGTERM late.
BUSY_SEEDS = (44, 47, 67, 73, 79)
BUSY_SECONDS = 0.4
# The daemon chooses a service with more than one target for each request.
SEED = 2
# A body that lasts this long from 2 s after SIGTERM ends beside the last close.
CLOSING_SECONDS = (4.7, 4.9, 5.1, 5.3)
CHARGE = RequestPlan(
    attempt='a1',
    route=RouteName('charges'),
    after=1.0,
    deadline=10.0,
    body_pauses=(0.0,),
    reuses=False,
    shared_parts=(),
    runs=(RunPlan(pauses=(0.1, 0.0, 0.0)),),
)
LONG = dataclasses.replace(
    CHARGE,
    attempt='long',
    deadline=30.0,
    runs=(RunPlan(pauses=(20.0, 0.0, 0.0)),),
)


def play_one(signal_seconds=0.0, **changes):
    """Stop a daemon that has one request; return findings and its reply."""
    plan = dataclasses.replace(CHARGE, **changes)
    played = play_stop(SEED, signal_seconds=signal_seconds, requests=[plan])
    (asked,) = played.asked
    return played.findings, asked.reply


@pytest.mark.parametrize('seed', SEEDS)
def test_each_whole_request_is_answered(seed):
    """Each whole request is answered, or refused and served elsewhere."""
    assert play_stop(seed, signal_seconds=0).findings == []


@pytest.mark.parametrize('seed', BUSY_SEEDS)
def test_late_signal(seed):
    """Each whole request is answered by a busy daemon too."""
    played = play_stop(seed, signal_seconds=BUSY_SECONDS)
    assert played.findings == []


class TestLateRequests:
    """Requests that are sent shortly before the daemon refuses them."""

    @pytest.mark.parametrize('kind', ['notes', 'letters', 'charges', 'lookups'])
    def test_busy_daemon(self, kind):
        """A daemon that handles SIGTERM late takes no more late requests.

        It took them until later after SIGTERM than operators allow, passed
        them on and cut them at its end.
        """
        findings, reply = play_one(
            signal_seconds=BUSY_SECONDS,
            route=RouteName(kind),
            after=3.1,
            reuses=True,
            lead=5.0,
            runs=(RunPlan(pauses=(0.1, 3.0, 3.0)),),
        )
        assert findings == []
        assert reply.status == 503


class TestLateSends:
    """Requests that their first target declines late."""

    @pytest.mark.parametrize('kind', ['notes', 'charges'])
    @pytest.mark.parametrize('seconds', [3.6, 4.5, 5.4])
    def test_cannot_end(self, kind, seconds):
        """What can't end before the daemon does is refused, not sent again.

        A request that may not be repeated got 502, and its caller gave up.
        """
        findings, reply = play_one(
            route=RouteName(kind),
            after=1.4,
            runs=(
                RunPlan(
                    pauses=(seconds, 0.0, 0.0), breach=Breach.DECLINES_LATE
                ),
                RunPlan(pauses=(3.0, 0.0, 0.0)),
            ),
        )
        assert findings == []
        assert reply.status == 503
        assert float(reply.headers['retry-after']) < 0.1

    @pytest.mark.parametrize('kind', ['notes', 'letters', 'charges', 'lookups'])
    @pytest.mark.parametrize(('seconds', 'deadline'), [(1.5, 10.0), (4.0, 5.0)])
    def test_can_end(self, kind, seconds, deadline):
        """What can end before the daemon does is sent again."""
        findings, reply = play_one(
            route=RouteName(kind),
            after=1.4,
            deadline=deadline,
            runs=(
                RunPlan(
                    pauses=(seconds, 0.0, 0.0), breach=Breach.DECLINES_LATE
                ),
                RunPlan(pauses=(0.1, 0.0, 0.0)),
            ),
        )
        assert findings == []
        assert reply.status == 200


class TestEnd:
    """End of a daemon whose requests last longer than its grace time."""

    @pytest.mark.parametrize('kind', ['notes', 'letters', 'charges', 'lookups'])
    @pytest.mark.parametrize('seconds', [3.6, 5.2, 5.4, 20.0])
    def test_begins_no_answer_in_time(self, kind, seconds):
        """What runs at the end without any of its answer gets 502."""
        findings, reply = play_one(
            route=RouteName(kind),
            after=1.4,
            runs=(
                RunPlan(
                    pauses=(seconds, 0.0, 0.0), breach=Breach.DECLINES_LATE
                ),
                RunPlan(pauses=(20.0, 0.0, 0.0)),
            ),
        )
        assert findings == []
        assert reply.status in {502, 503}

    @pytest.mark.parametrize('signal_seconds', [0.0, 0.2, 0.4])
    def test_not_killed(self, signal_seconds):
        """The process has time to exit before it is killed."""
        findings, reply = play_one(
            signal_seconds=signal_seconds,
            deadline=30.0,
            runs=(RunPlan(pauses=(20.0, 0.0, 0.0)),),
        )
        assert findings == []
        assert reply.status == 502


class TestLastClose:
    """Requests every 0.7 ms around the close of idle connections."""

    @pytest.mark.parametrize('pieces', [1, 2])
    @pytest.mark.parametrize(
        ('begins_after', 'reuses', 'others'),
        [(2.75, True, ()), (6.7, True, (LONG,)), (2.4, False, ())],
    )
    def test_answered_or_not_read(self, begins_after, reuses, others, pieces):
        """Each request is answered, or its connection was closed before."""
        plans = [
            dataclasses.replace(
                CHARGE,
                attempt=f'a{number}',
                after=begins_after + number * 0.0007,
                reuses=reuses,
                lead=begins_after + number * 0.0007 + 1,
                body_pauses=(0.001,) * pieces,
            )
            for number in range(300)
        ]
        played = play_stop(SEED, signal_seconds=0, requests=[*plans, *others])
        statuses = {asked.reply.status for asked in played.asked}
        assert played.findings == []
        assert 503 in statuses
        assert None in statuses or not reuses


class TestBodies:
    """Requests whose bodies arrive while the daemon stops."""

    @pytest.mark.parametrize('seconds', CLOSING_SECONDS)
    def test_end_beside_the_last_close(self, seconds):
        """A body that ends as connections are closed gets a refusal.

        The rest of the body was dropped, and the caller got no answer.
        """
        findings, reply = play_one(after=2.0, body_pauses=(seconds,))
        assert findings == []
        assert reply.status == 503

    @pytest.mark.parametrize('seconds', [1.5, 4.0, 6.0, 20.0])
    def test_refused_at_once(self, seconds):
        """A body that arrives after the time of service is not waited for."""
        findings, reply = play_one(
            after=2.0, body_pauses=(seconds,), deadline=30.0
        )
        assert findings == []
        assert reply.status == 503
        assert reply.ended_at - reply.began_at < 1


class TestChecks:
    """Checks of the rounds find what they look for."""

    def test_finds_a_body_that_is_dropped(self, monkeypatch):
        """A daemon that waits for bodies until the last close is found."""
        monkeypatch.setattr(CallScopes, 'end_all', lambda _: None)
        assert any(
            'closed without an answer' in each
            for seconds in CLOSING_SECONDS
            for each in play_one(after=2.0, body_pauses=(seconds,))[0]
        )

    def test_finds_requests_that_are_taken_too_late(self, monkeypatch):
        """A daemon that serves until shortly before its end is found."""
        monkeypatch.setattr(forwarder_daemon, 'SERVING_SECONDS', 6.0)
        assert any(
            'answer cut' in each
            for each in play_stop(1, signal_seconds=0).findings
        )

    def test_finds_a_drain_that_does_not_wait(self, monkeypatch):
        """A daemon that stops at once is found."""

        async def drain(self):
            self.draining = True

        monkeypatch.setattr(ForwarderDaemon, 'drain', drain)
        assert play_stop(1, signal_seconds=0).findings

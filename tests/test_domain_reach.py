"""Tests of :mod:`ragwortcourse.forwarding.domain_reach`."""

import random

from fakes.fleet_parts import FAR, NEAR
from ragwortcourse.forwarding.domain_reach import (
    FIRST_CLOSED_SECONDS,
    LONGEST_CLOSED_SECONDS,
    SILENT_TARGETS,
    SPAN_SECONDS,
    TRIAL_SECONDS,
    DomainReach,
)
from ragwortcourse.identifiers import TargetName

CONNECT_SECONDS = 0.3
LOST_SECONDS = 5.7


def lose(reach: DomainReach, now: float) -> None:
    """As many targets as it takes can't be reached."""
    for number in range(SILENT_TARGETS):
        reach.note_unreachable(FAR, TargetName(f't-{number}'), now)


class TestLost:
    """What makes a failure domain one that is passed by."""

    def test_several_targets(self):
        """Several targets that can't be reached stand for the others."""
        reach = DomainReach()
        lose(reach, 10)
        assert reach.is_passed_by(FAR, 10.1)
        assert not reach.is_passed_by(NEAR, 10.1)

    def test_one_target(self):
        """One target that can't be reached may have crashed."""
        reach = DomainReach()
        for _ in range(5):
            reach.note_unreachable(FAR, TargetName('t-1'), 10)
        assert not reach.is_passed_by(FAR, 10.1)

    def test_others_answer(self):
        """A failure domain from which answers come is reached."""
        reach = DomainReach()
        for number in range(5):
            reach.note_unreachable(FAR, TargetName(f't-{number}'), 10)
            reach.note_answer(FAR)
        assert not reach.is_passed_by(FAR, 10.1)

    def test_far_apart(self):
        """Failures that lie far apart are no sign of one cause."""
        reach = DomainReach()
        reach.note_unreachable(FAR, TargetName('t-1'), 10)
        later = 10 + SPAN_SECONDS
        reach.note_unreachable(FAR, TargetName('t-2'), later)
        assert not reach.is_passed_by(FAR, later)

    def test_told(self, caplog):
        """The log tells when a way is lost and when it is back, once."""
        caplog.set_level('INFO')
        reach = DomainReach()
        lose(reach, 10)
        lose(reach, 10.1)
        reach.note_answer(FAR)
        reach.note_answer(FAR)
        assert [record.message for record in caplog.records] == [
            'failure domain can not be reached',
            'failure domain reached again',
        ]


class TestTrial:
    """How a daemon finds out that the way is back."""

    def test_one_at_a_time(self):
        """After a while one request goes there, the others wait for it."""
        reach = DomainReach()
        lose(reach, 10)
        now = 10 + FIRST_CLOSED_SECONDS
        assert not reach.is_passed_by(FAR, now)
        reach.note_sent(FAR, now)
        assert reach.is_passed_by(FAR, now + TRIAL_SECONDS / 2)

    def test_answered(self):
        """With its answer all is as before."""
        reach = DomainReach()
        lose(reach, 10)
        reach.note_answer(FAR)
        assert not reach.is_passed_by(FAR, 10.1)
        reach.note_unreachable(FAR, TargetName('t-1'), 10.2)
        assert not reach.is_passed_by(FAR, 10.3)

    def test_unanswered(self):
        """Without an answer the next one goes later, but not much later."""
        reach, now = DomainReach(), 10.0
        lose(reach, now)
        for _ in range(10):
            now += LONGEST_CLOSED_SECONDS
            assert not reach.is_passed_by(FAR, now)
            reach.note_sent(FAR, now)
            now += CONNECT_SECONDS
            reach.note_unreachable(FAR, TargetName('t-1'), now)
            assert reach.is_passed_by(FAR, now + FIRST_CLOSED_SECONDS)

    def test_sent_together(self):
        """Requests that were under way when it was lost close it no longer."""
        reach = DomainReach()
        lose(reach, 10)
        for _ in range(10):
            lose(reach, 10.2)
        assert not reach.is_passed_by(FAR, 10 + FIRST_CLOSED_SECONDS)

    def test_no_sign(self):
        """A trial that tells nothing is followed by another."""
        reach = DomainReach()
        lose(reach, 10)
        reach.note_sent(FAR, 11)
        assert not reach.is_passed_by(FAR, 11 + TRIAL_SECONDS)


class TestReplay:
    """A failure domain is lost for some seconds."""

    def test_few_find_out(self):
        """Few requests of a daemon wait for connections that fail.

        Seen on kalliga-grown trouble-1: 34 daemons sent 383 requests to the
        11 engines of a failure domain that was cut off for 5.7 s, eleven
        each. Here a daemon would send three a second; one a second is enough
        to find out.
        """
        counts = [count_sent(random.Random(seed)) for seed in range(50)]
        assert sum(counts) / len(counts) <= LOST_SECONDS


def count_sent(rng: random.Random) -> int:
    """Requests of one daemon that went to a lost failure domain."""
    reach, now, sent = DomainReach(), 0.0, 0
    under_way: list[tuple[float, TargetName]] = []
    while now < LOST_SECONDS:
        now += rng.expovariate(3)
        while under_way and under_way[0][0] <= now:
            at, name = under_way.pop(0)
            reach.note_unreachable(FAR, name, at)
        if not reach.is_passed_by(FAR, now):
            reach.note_sent(FAR, now)
            name = TargetName(f't-{rng.randrange(11)}')
            under_way.append((now + CONNECT_SECONDS, name))
            sent += 1
    return sent

"""Tests of :mod:`ragwortcourse.forwarding.domain_reach`."""

import asyncio
import random

from fakes.fleet_parts import FAR_DOMAIN, NEAR_DOMAIN
from fakes.fleet_target import Received, ScriptedConnection, answer_whole
from fakes.forwarder_fleet import LETTER, ForwarderFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.domain_reach import (
    FAILURE_WINDOW_SECONDS,
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    PROBE_SECONDS,
    UNREACHABLE_TARGETS,
    DomainReach,
)
from ragwortcourse.identifiers import TargetName

CONNECT_SECONDS = 0.3
LOST_SECONDS = 5.7


async def answer_late(
    received: Received, connection: ScriptedConnection
) -> None:
    """Answer after a silence that is too long for one try."""
    await asyncio.sleep(1.5)
    await answer_whole(received, connection)


def mark_lost(reach: DomainReach, now: float) -> None:
    """Report enough unreachable targets to make the domain count as lost."""
    for number in range(UNREACHABLE_TARGETS):
        reach.note_unreachable(FAR_DOMAIN, TargetName(f't-{number}'), now)


class TestLost:
    """Conditions under which a failure domain counts as lost."""

    def test_several_targets(self):
        """Several unreachable targets make their whole domain avoided."""
        reach = DomainReach()
        mark_lost(reach, 10)
        assert reach.is_avoided(FAR_DOMAIN, 10.1)
        assert not reach.is_avoided(NEAR_DOMAIN, 10.1)

    def test_one_target(self):
        """One unreachable target may have crashed: the domain stays in use."""
        reach = DomainReach()
        for _ in range(5):
            reach.note_unreachable(FAR_DOMAIN, TargetName('t-1'), 10)
        assert not reach.is_avoided(FAR_DOMAIN, 10.1)

    def test_others_answer(self):
        """A failure domain from which answers arrive is not lost."""
        reach = DomainReach()
        for number in range(5):
            reach.note_unreachable(FAR_DOMAIN, TargetName(f't-{number}'), 10)
            reach.note_answer(FAR_DOMAIN)
        assert not reach.is_avoided(FAR_DOMAIN, 10.1)

    def test_far_apart(self):
        """Failures that lie far apart do not count together."""
        reach = DomainReach()
        reach.note_unreachable(FAR_DOMAIN, TargetName('t-1'), 10)
        later = 10 + FAILURE_WINDOW_SECONDS
        reach.note_unreachable(FAR_DOMAIN, TargetName('t-2'), later)
        assert not reach.is_avoided(FAR_DOMAIN, later)

    def test_told(self, caplog):
        """The loss and the return of a domain are each logged once."""
        caplog.set_level('INFO')
        reach = DomainReach()
        mark_lost(reach, 10)
        mark_lost(reach, 10.1)
        reach.note_answer(FAR_DOMAIN)
        reach.note_answer(FAR_DOMAIN)
        assert [record.message for record in caplog.records] == [
            'failure domain unreachable, preferring targets elsewhere',
            'failure domain reachable again',
        ]


class TestSilence:
    """Targets of one failure domain that are silent together."""

    async def test_silent_targets(self):
        """Targets that connect and send nothing do not count as lost.

        Each is silent for longer than a try may last, and then goes on.
        """
        fleet = ForwarderFleet(answer=answer_late)
        async with fleet.exit_stack:
            await fleet.open(targets=4, forwarders=1, plain=False)
            reach = fleet.forwarders[0].state.reach
            asked = [
                asyncio.ensure_future(fleet.ask(0, b'letter', LETTER))
                for _ in range(8)
            ]
            avoided = []
            while not all(each.done() for each in asked):
                await asyncio.sleep(0.05)
                now = read_clock()
                avoided += [
                    reach.is_avoided(domain, now)
                    for domain in (NEAR_DOMAIN, FAR_DOMAIN)
                ]
        assert len(avoided) > 10
        assert not any(avoided)


class TestTrial:
    """Probes of a lost failure domain."""

    def test_one_at_a_time(self):
        """After the back-off one request probes; others avoid the domain."""
        reach = DomainReach()
        mark_lost(reach, 10)
        now = 10 + MIN_BACKOFF_SECONDS
        assert not reach.is_avoided(FAR_DOMAIN, now)
        reach.note_sent(FAR_DOMAIN, now)
        assert reach.is_avoided(FAR_DOMAIN, now + PROBE_SECONDS / 2)

    def test_answered(self):
        """An answer closes the circuit breaker and resets the failures."""
        reach = DomainReach()
        mark_lost(reach, 10)
        reach.note_answer(FAR_DOMAIN)
        assert not reach.is_avoided(FAR_DOMAIN, 10.1)
        reach.note_unreachable(FAR_DOMAIN, TargetName('t-1'), 10.2)
        assert not reach.is_avoided(FAR_DOMAIN, 10.3)

    def test_unanswered(self):
        """After a failed probe the back-off grows up to its limit."""
        reach, now = DomainReach(), 10.0
        mark_lost(reach, now)
        for _ in range(10):
            now += MAX_BACKOFF_SECONDS
            assert not reach.is_avoided(FAR_DOMAIN, now)
            reach.note_sent(FAR_DOMAIN, now)
            now += CONNECT_SECONDS
            reach.note_unreachable(FAR_DOMAIN, TargetName('t-1'), now)
            assert reach.is_avoided(FAR_DOMAIN, now + MIN_BACKOFF_SECONDS)

    def test_sent_together(self):
        """Late failures of earlier requests do not extend the back-off."""
        reach = DomainReach()
        mark_lost(reach, 10)
        for _ in range(10):
            mark_lost(reach, 10.2)
        assert not reach.is_avoided(FAR_DOMAIN, 10 + MIN_BACKOFF_SECONDS)

    def test_no_sign(self):
        """A probe without any outcome is followed by another probe."""
        reach = DomainReach()
        mark_lost(reach, 10)
        reach.note_sent(FAR_DOMAIN, 11)
        assert not reach.is_avoided(FAR_DOMAIN, 11 + PROBE_SECONDS)


class TestReplay:
    """Simulated loss of a failure domain for some seconds."""

    def test_few_find_out(self):
        """Few requests of a daemon wait for connections that fail.

        Incident (kalliga-grown trouble-1): 34 daemons sent 383 requests to
        the 11 engines of a failure domain that was cut off for 5.7 s, eleven
        requests each. In this simulation a daemon has three requests a second
        for the domain, of which one a second is enough to probe.
        """
        counts = [count_sent(random.Random(seed)) for seed in range(50)]
        assert sum(counts) / len(counts) <= LOST_SECONDS


def count_sent(rng: random.Random) -> int:
    """Count the requests that one daemon sends to a lost failure domain."""
    reach, now, sent = DomainReach(), 0.0, 0
    under_way: list[tuple[float, TargetName]] = []
    while now < LOST_SECONDS:
        now += rng.expovariate(3)
        while under_way and under_way[0][0] <= now:
            at, name = under_way.pop(0)
            reach.note_unreachable(FAR_DOMAIN, name, at)
        if not reach.is_avoided(FAR_DOMAIN, now):
            reach.note_sent(FAR_DOMAIN, now)
            name = TargetName(f't-{rng.randrange(11)}')
            under_way.append((now + CONNECT_SECONDS, name))
            sent += 1
    return sent

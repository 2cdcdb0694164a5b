"""Tests of :mod:`ragwortcourse.forwarding.crash_guard` and its exchange."""

import asyncio
import dataclasses

import msgspec
import pytest

from fakes.crash_daemon import REQUEST, CrashDaemon, make_request
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_exchange import (
    REPORTS_PER_MESSAGE,
    REPORTS_PER_ROUND,
)
from ragwortcourse.forwarding.crash_guard import (
    EVIDENCE_LIMIT,
    SETTLED_SECONDS,
    SURVIVAL_SECONDS,
)
from ragwortcourse.forwarding.crash_messages import CrashMessage
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.request_crashes import RequestCrashes

pytestmark = pytest.mark.looptime


class TestCrashGuard:
    """Verdicts of one daemon."""

    async def test_crashes(self):
        """A request is refused after three targets have ended under it."""
        daemon = CrashDaemon('a', 'b', 'c')
        verdicts = [daemon.verdict]
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
            verdicts.append(daemon.verdict)
        assert verdicts == [
            Verdict.ALLOWED,
            Verdict.SUSPECT,
            Verdict.SUSPECT,
            Verdict.REFUSED,
        ]
        assert daemon.admission.check([REQUEST]).inputs['targets'] == [
            'a',
            'b',
            'c',
        ]

    async def test_held_until_known(self):
        """A request is held back until it is known what became of targets."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
        assert daemon.verdict is Verdict.HELD
        refusal = daemon.admission.check([REQUEST])
        assert refusal.status == 503
        assert refusal.retry_after <= 10
        await asyncio.sleep(SURVIVAL_SECONDS + 1)
        assert daemon.verdict is Verdict.ALLOWED

    async def test_living_targets(self):
        """Lost answers of targets that answer afterwards are no crashes."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
            daemon.answered[name] = read_clock_with_suspend() + 0.1
        assert daemon.verdict is Verdict.ALLOWED

    async def test_leaving_target(self):
        """A target that leaves has not crashed."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
            target = daemon.state.targets[name]
            daemon.state.targets[name] = dataclasses.replace(
                target, leaving=True
            )
            daemon.guard.settle()
            daemon.end(name)
        assert daemon.verdict is Verdict.ALLOWED

    async def test_target_that_ends_much_later(self):
        """A target that ends long after a lost answer has not crashed by it."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
        await asyncio.sleep(SURVIVAL_SECONDS + 1)
        daemon.guard.settle()
        for name in 'abc':
            daemon.end(name)
        assert daemon.verdict is Verdict.ALLOWED

    async def test_store_away(self):
        """Rows that can't change while the store is away prove nothing."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
        daemon.state.store_lost = True
        for _ in range(3):
            await asyncio.sleep(SURVIVAL_SECONDS / 2)
            daemon.guard.settle()
            assert daemon.verdict is Verdict.HELD
        daemon.state.store_lost = False
        for name in 'abc':
            daemon.end(name)
        assert daemon.verdict is Verdict.REFUSED

    async def test_targets_not_read_yet(self):
        """A daemon that has no list of targets yet takes none for ended."""
        daemon = CrashDaemon()
        daemon.state.targets_known = False
        for name in 'abc':
            await daemon.lose(name)
        assert daemon.verdict is Verdict.HELD

    async def test_one_at_a_time(self):
        """A request suspected of two crashes runs once at a time."""
        daemon = CrashDaemon('a', 'b')
        for name in 'ab':
            await daemon.lose(name)
        assert daemon.admission.check([REQUEST]) is None
        with daemon.admission.count_running([REQUEST]):
            assert daemon.admission.check([REQUEST]).status == 503
        assert daemon.admission.check([REQUEST]) is None

    async def test_expired(self):
        """A refusal ends after ``SUSPICION_SECONDS``."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
        assert daemon.verdict is Verdict.REFUSED
        await asyncio.sleep(SUSPICION_SECONDS + 1)
        assert daemon.verdict is Verdict.ALLOWED
        daemon.guard.settle()
        assert not daemon.guard.store

    async def test_settled_evidence_is_dropped(self):
        """Evidence against innocent requests takes no memory for long."""
        daemon = CrashDaemon('a')
        await daemon.lose('a')
        daemon.answered['a'] = read_clock_with_suspend() + 0.1
        await asyncio.sleep(SETTLED_SECONDS + 1)
        daemon.guard.settle()
        assert not daemon.guard.store

    async def test_many_innocent_requests(self):
        """A flood of other lost answers does not evict a proven request."""
        daemon = CrashDaemon('a', 'b', 'c', 'd')
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
        assert daemon.verdict is Verdict.REFUSED
        for number in range(EVIDENCE_LIMIT * 2):
            await daemon.lose('d', make_request(f'other-{number}'))
        assert len(daemon.guard.store) == EVIDENCE_LIMIT
        assert daemon.verdict is Verdict.REFUSED


class TestCrashSender:
    """Evidence that daemons send to each other."""

    async def test_each_daemon_sees_a_part(self):
        """Crashes seen by three daemons add up at each of them."""
        daemons = [CrashDaemon('a', 'b', 'c') for _ in range(3)]
        for name, daemon in zip('abc', daemons, strict=True):
            await daemon.lose(name)
            daemon.sender.send_round(['p1', 'p2'], repeats=False)
            for other in daemons:
                other.end(name)
                if other is not daemon:
                    daemon.deliver(other)
        assert [daemon.verdict for daemon in daemons] == [Verdict.REFUSED] * 3

    async def test_restarted_daemon(self):
        """A daemon that starts later learns of a refused request."""
        daemon, restarted = CrashDaemon('a', 'b', 'c'), CrashDaemon()
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
        await asyncio.sleep(60)
        daemon.sender.send_round(['p1'], repeats=True)
        daemon.deliver(restarted)
        assert restarted.verdict is Verdict.REFUSED

    async def test_answer_elsewhere(self):
        """A complete answer at one daemon clears the request at all."""
        daemon, other = CrashDaemon('a', 'b', 'c'), CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
        daemon.sender.send_round(['p1'], repeats=False)
        daemon.deliver(other)
        other.guard.note_answered([REQUEST])
        other.sender.send_round(['p1'], repeats=False)
        other.deliver(daemon)
        assert daemon.verdict is Verdict.ALLOWED
        assert other.verdict is Verdict.ALLOWED

    async def test_reports_are_not_passed_on_to_all(self):
        """A daemon tells all others only what it saw itself."""
        daemon, other = CrashDaemon('a'), CrashDaemon('a')
        await daemon.lose('a')
        daemon.sender.send_round(['p1'], repeats=True)
        daemon.deliver(other)
        other.sender.send_round(['p1'], repeats=True)
        assert (len(daemon.sent), len(other.sent)) == (1, 0)

    @pytest.mark.parametrize('daemons', [9, 45, 350])
    async def test_cost_of_a_lost_failure_domain(self, daemons):
        """All daemons together send few reports in one round."""
        daemon = CrashDaemon()
        for number in range(40):
            await daemon.lose('a', make_request(f'request-{number}'))
        daemon.sender.send_round(['p'] * (daemons - 1), repeats=False)
        (content, _), *_ = daemon.sent
        message = msgspec.json.decode(content, type=CrashMessage)
        assert len(message.reports) <= REPORTS_PER_MESSAGE
        assert len(message.reports) * daemons <= max(REPORTS_PER_ROUND, daemons)


class TestRequestCrashes:
    """Notes of one request."""

    @pytest.mark.parametrize('cause', LossCause)
    async def test_causes(self, cause):
        """Only a cut or silent target may have crashed."""
        daemon = CrashDaemon('a')
        crashes = RequestCrashes(guard=daemon.guard, suspects=[REQUEST])
        crashes.note_sent(daemon.state.targets['a'])
        crashes.note_lost(cause)
        may_have_crashed = cause in {LossCause.CUT, LossCause.SILENCE}
        assert len(daemon.guard.store) == may_have_crashed

    async def test_not_run(self):
        """A target that did not run the request is not counted."""
        daemon = CrashDaemon('a')
        crashes = RequestCrashes(guard=daemon.guard, suspects=[REQUEST])
        crashes.note_sent(daemon.state.targets['a'])
        crashes.note_not_run()
        crashes.note_lost(LossCause.SILENCE)
        assert not daemon.guard.store

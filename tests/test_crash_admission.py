"""Tests of the admission of requests with parts that may crash targets."""

import asyncio
import random

import pytest

from fakes.crash_daemon import CrashDaemon, make_part, make_request
from fakes.fleet_parts import FLEET, make_plain
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_guard import (
    EVIDENCE_LIMIT,
    SURVIVAL_SECONDS,
)
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.lost_run import RunEnd
from ragwortcourse.forwarding.request_crashes import (
    ABANDONED_SECONDS,
    WRITING_SECONDS,
    RequestCrashes,
)

pytestmark = pytest.mark.looptime

BAD = make_part('bad')
POPULAR = make_part('f1')
CONTACT_SECONDS = FLEET.contact_ms / 1000
TARGETS = tuple('abcde')
# Requests that the users allow after the fifth crash and the contact time.
ALLOWED = 3


def judge(daemon: CrashDaemon, part=BAD) -> Verdict:
    """Judge a part."""
    return daemon.guard.judge(part).verdict


async def crash_five(daemon: CrashDaemon, *parts) -> None:
    """Crash five targets, each under a request of its own."""
    for name in TARGETS:
        await daemon.lose(name, make_request(f'letter-{name}'), *parts)


class TestPart:
    """A part that requests share that are otherwise different."""

    async def test_five_crashes(self):
        """A part is held back from the fifth crash on, before it is proven."""
        daemon = CrashDaemon(*TARGETS)
        verdicts = []
        for name in TARGETS:
            await daemon.lose(name, make_request(name), BAD)
            verdicts.append(judge(daemon))
        assert verdicts == [*[Verdict.SUSPECT] * 4, Verdict.HELD]
        for name in TARGETS:
            daemon.end(name)
        assert judge(daemon) is Verdict.REFUSED
        refusal = daemon.admission.check([make_request('new'), BAD])
        assert refusal.status == 503
        assert refusal.inputs['prompt_part'] == BAD.name
        assert refusal.inputs['targets'] == list(TARGETS)
        assert daemon.admission.check([make_request('new'), POPULAR]) is None

    async def test_requests_side_by_side(self):
        """Crashes under requests that were under way at once add up."""
        daemon = CrashDaemon(*TARGETS)
        sent_at = read_clock_with_suspend()
        for name in TARGETS:
            await asyncio.sleep(0.1)
            daemon.cut(name, make_request(name), BAD, sent_at=sent_at)
        assert judge(daemon) is Verdict.HELD

    async def test_while_suspected(self):
        """From two crashes on requests run one at a time, with no repeat."""
        daemon = CrashDaemon(*TARGETS)
        suspects = [make_request('new'), BAD]
        await daemon.lose('a', BAD)
        assert daemon.admission.allows_repeat(suspects)
        await daemon.lose('b', BAD)
        assert not daemon.admission.allows_repeat(suspects)
        assert daemon.admission.check(suspects) is None
        with daemon.admission.count_running(suspects):
            assert daemon.admission.check(suspects, running=1) is None
            other = [make_request('other'), BAD]
            assert daemon.admission.check(other).status == 503
        assert daemon.admission.check(suspects) is None

    async def test_survivors(self):
        """Targets that are still listed later were not crashed by the part."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, BAD)
        await asyncio.sleep(SURVIVAL_SECONDS + 1)
        assert judge(daemon) is Verdict.ALLOWED


class TestPopularPart:
    """Sound parts of requests at targets that end for other reasons."""

    async def test_rack_that_resets_its_connections(self):
        """Targets that end at the same moment count once."""
        daemon = CrashDaemon(*TARGETS)
        sent_at = read_clock_with_suspend()
        await asyncio.sleep(1)
        for name in TARGETS:
            daemon.cut(name, POPULAR, sent_at=sent_at)
            daemon.end(name)
        assert judge(daemon, POPULAR) is Verdict.SUSPECT
        assert daemon.admission.check([POPULAR]) is None

    async def test_lost_failure_domain(self):
        """A part is not held back by silence, and cleared before the proof."""
        daemon, other = CrashDaemon(*TARGETS), CrashDaemon(*TARGETS, 'f')
        for name in TARGETS:
            await daemon.lose(name, POPULAR, end=RunEnd.SILENT)
        daemon.sender.send_round(['p1'], repeats=False)
        daemon.deliver(other)
        assert judge(daemon, POPULAR) is Verdict.ALLOWED
        await asyncio.sleep(0.5)
        other.guard.note_answered([POPULAR])
        other.sender.send_round(['p1'], repeats=False)
        other.deliver(daemon)
        await asyncio.sleep(2.5)
        for name in TARGETS:
            daemon.end(name)
        assert judge(daemon, POPULAR) is Verdict.ALLOWED

    async def test_silent_targets_that_ended(self):
        """Silence counts once its target is known to have ended."""
        daemon = CrashDaemon(*TARGETS)
        for name in TARGETS:
            await daemon.lose(name, BAD, end=RunEnd.SILENT)
            daemon.end(name)
        assert judge(daemon) is Verdict.REFUSED

    async def test_cleared_by_another_request(self):
        """An answer to any request clears the parts that it shares."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, POPULAR, BAD)
        daemon.guard.note_answered([make_request('sound'), POPULAR])
        assert judge(daemon, POPULAR) is Verdict.ALLOWED
        assert judge(daemon) is Verdict.HELD


class TestRequestWithParts:
    """What the course of one request tells about its parts."""

    def make_crashes(self, daemon: CrashDaemon) -> RequestCrashes:
        """Build the notes of a request that was just sent."""
        crashes = RequestCrashes(
            guard=daemon.guard, suspects=[make_request('r'), BAD]
        )
        crashes.note_sent(make_plain('a'))
        return crashes

    async def test_target_that_wrote_for_long(self):
        """A target that ends long after it began to write clears the parts."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, BAD)
        crashes = self.make_crashes(daemon)
        crashes.note_written()
        assert judge(daemon) is Verdict.HELD
        await asyncio.sleep(WRITING_SECONDS)
        crashes.note_written()
        assert judge(daemon) is Verdict.ALLOWED
        crashes.note_lost(LossCause.CUT)
        assert judge(daemon) is Verdict.ALLOWED

    async def test_target_that_hung_after_its_first_piece(self):
        """The time of writing ends with the last piece."""
        daemon = CrashDaemon(*TARGETS)
        crashes = self.make_crashes(daemon)
        crashes.note_written()
        await asyncio.sleep(WRITING_SECONDS * 2)
        crashes.note_lost(LossCause.CUT)
        assert judge(daemon) is Verdict.SUSPECT

    async def test_second_target(self):
        """Each target of a request has a time of its own."""
        daemon = CrashDaemon(*TARGETS)
        crashes = self.make_crashes(daemon)
        crashes.note_written()
        await asyncio.sleep(WRITING_SECONDS)
        crashes.note_sent(make_plain('b'))
        crashes.note_written()
        crashes.note_lost(LossCause.CUT)
        assert judge(daemon) is Verdict.SUSPECT

    async def test_caller_that_leaves_a_silent_target(self):
        """Silence that only the caller ends counts if the target ended."""
        daemon = CrashDaemon(*TARGETS)
        crashes = self.make_crashes(daemon)
        await asyncio.sleep(ABANDONED_SECONDS)
        crashes.note_abandoned()
        assert judge(daemon) is Verdict.ALLOWED
        daemon.end('a')
        assert judge(daemon) is Verdict.SUSPECT
        assert judge(daemon, make_request('r')) is Verdict.ALLOWED

    async def test_caller_that_leaves_early(self):
        """A target that was about to answer is not suspected."""
        daemon = CrashDaemon(*TARGETS)
        crashes = self.make_crashes(daemon)
        await asyncio.sleep(ABANDONED_SECONDS)
        crashes.note_written()
        crashes.note_abandoned()
        assert not daemon.guard.store

    async def test_end_of_an_answer(self):
        """The end of a try is no loss after its answer."""
        daemon = CrashDaemon(*TARGETS)
        crashes = self.make_crashes(daemon)
        await asyncio.sleep(ABANDONED_SECONDS)
        crashes.note_answered(success=True, framed=True)
        crashes.note_abandoned()
        assert not daemon.guard.store

    @pytest.mark.parametrize('success', [True, False])
    async def test_error(self, success):
        """An error clears the request, but not its parts."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, BAD)
        crashes = self.make_crashes(daemon)
        crashes.note_answered(success=success, framed=True)
        cleared = judge(daemon) is Verdict.ALLOWED
        assert cleared is success


class TestAnswersWithoutLength:
    """Answers that end with their connections, as they do in a crash."""

    def close(self, daemon: CrashDaemon, name: str) -> None:
        """End an answer with its connection."""
        crashes = RequestCrashes(
            guard=daemon.guard, suspects=[make_request('r'), BAD]
        )
        crashes.note_sent(daemon.state.targets[name])
        crashes.note_written()
        crashes.note_answered(success=True, framed=False)

    async def test_target_that_ended(self):
        """Answers whose targets end with them count as crashes."""
        daemon = CrashDaemon(*TARGETS)
        for name in TARGETS:
            await asyncio.sleep(0.1)
            self.close(daemon, name)
            assert judge(daemon) is not Verdict.HELD
        for name in TARGETS:
            daemon.end(name)
        daemon.guard.settle()
        assert judge(daemon) is Verdict.REFUSED

    async def test_target_that_wrote_for_long(self):
        """A part on which the target wrote for long did not end it."""
        daemon = CrashDaemon(*TARGETS)
        crashes = RequestCrashes(guard=daemon.guard, suspects=[BAD])
        crashes.note_sent(daemon.state.targets['a'])
        crashes.note_written()
        await asyncio.sleep(WRITING_SECONDS)
        crashes.note_written()
        crashes.note_answered(success=True, framed=False)
        daemon.end('a')
        daemon.guard.settle()
        assert judge(daemon) is Verdict.ALLOWED

    async def test_evidence_is_kept(self):
        """Such an answer clears nothing before its target is known to live."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, BAD)
        self.close(daemon, 'e')
        daemon.guard.settle()
        assert judge(daemon) is Verdict.HELD
        daemon.answered['e'] = read_clock_with_suspend() + 0.1
        daemon.guard.settle()
        assert judge(daemon) is Verdict.ALLOWED

    async def test_losses_after_the_answer(self):
        """An answer clears only what was lost before its end."""
        daemon = CrashDaemon(*TARGETS, 'f')
        self.close(daemon, 'f')
        await crash_five(daemon, BAD)
        daemon.answered['f'] = read_clock_with_suspend()
        daemon.guard.settle()
        assert judge(daemon) is Verdict.HELD

    async def test_refused_connections(self):
        """A target that refuses connections since is suspected at once."""
        daemon = CrashDaemon(*TARGETS)
        for name in TARGETS:
            await asyncio.sleep(0.1)
            self.close(daemon, name)
            daemon.guard.note_refused(daemon.state.targets[name])
        assert judge(daemon) is Verdict.HELD
        for name in TARGETS:
            daemon.answered[name] = read_clock_with_suspend() + 0.1
        assert judge(daemon) is Verdict.ALLOWED

    async def test_answers_of_sound_targets(self):
        """Answers of targets that live leave no evidence."""
        daemon = CrashDaemon(*TARGETS)
        for name in TARGETS:
            self.close(daemon, name)
        await asyncio.sleep(SURVIVAL_SECONDS + 1)
        daemon.guard.settle()
        assert not daemon.guard.store


class TestTrials:
    """Single requests that tell whether a refused part still crashes."""

    async def play(
        self,
        daemons: list[CrashDaemon],
        seconds: float,
        *,
        crashes: bool | None,
    ) -> list[float]:
        """Send requests with the part to random daemons.

        :param crashes: none if it is not known what became of their targets.
        :return: when requests ran, in seconds since the last crash.
        """
        rng = random.Random(1)
        began_at = read_clock_with_suspend()
        ran_at = []
        while (now := read_clock_with_suspend()) < began_at + seconds:
            daemon = rng.choice(daemons)
            if daemon.admission.check([BAD]) is None:
                ran_at.append(now - began_at)
                daemon.guard.note_sent([BAD])
                await asyncio.sleep(0.3)
                if crashes is None:
                    pass
                elif crashes:
                    daemon.cut(f't{now}', BAD, sent_at=now)
                else:
                    daemon.guard.note_answered([BAD])
                self.exchange(daemons)
            await asyncio.sleep(0.25)
        return ran_at

    def exchange(self, daemons: list[CrashDaemon]) -> None:
        """Tell all daemons the news of each."""
        for daemon in daemons:
            daemon.sender.send_round(['p'] * (len(daemons) - 1), repeats=False)
            for other in daemons:
                if other is not daemon:
                    daemon.deliver(other)
            daemon.sent.clear()

    async def open(self, count: int) -> list[CrashDaemon]:
        """Build daemons that all know of five crashes."""
        daemons = [
            CrashDaemon(*TARGETS, name=f'e{number}', daemons=count)
            for number in range(count)
        ]
        await crash_five(daemons[0], BAD)
        self.exchange(daemons)
        for daemon in daemons:
            for name in TARGETS:
                daemon.end(name)
        assert {judge(daemon) for daemon in daemons} == {Verdict.REFUSED}
        return daemons

    @pytest.mark.parametrize('crashes', [True, None])
    @pytest.mark.parametrize('count', [1, 9, 45])
    async def test_part_that_still_crashes(self, count, crashes):
        """Trials become rare; all daemons together send few."""
        daemons = await self.open(count)
        ran_at = await self.play(daemons, SUSPICION_SECONDS, crashes=crashes)
        assert sum(at > CONTACT_SECONDS for at in ran_at) <= ALLOWED

    @pytest.mark.parametrize('count', [1, 9, 45])
    async def test_part_that_is_sound(self, count):
        """A part that was refused in error is soon served everywhere."""
        daemons = await self.open(count)
        ran_at = await self.play(daemons, 2 * CONTACT_SECONDS, crashes=False)
        assert ran_at
        await self.play(daemons, 2 * CONTACT_SECONDS, crashes=False)
        assert {judge(daemon) for daemon in daemons} == {Verdict.ALLOWED}

    async def test_time_to_return(self):
        """A refused caller is told when the next trial is due."""
        daemon = CrashDaemon(*TARGETS)
        await crash_five(daemon, BAD)
        first = daemon.admission.check([BAD]).retry_after
        await asyncio.sleep(1)
        later = daemon.admission.check([BAD]).retry_after
        assert later == pytest.approx(first - 1)


class TestBounds:
    """Many sound suspects beside the one that crashes targets."""

    async def test_flood_of_sound_suspects(self):
        """A flood of lost answers does not evict a part under suspicion."""
        daemon = CrashDaemon(*TARGETS)
        for name in 'ab':
            await daemon.lose(name, BAD)
        for number in range(EVIDENCE_LIMIT):
            sound = make_request(f'r{number}'), make_part(f'p{number}')
            daemon.cut('c', *sound, sent_at=read_clock_with_suspend())
        for name in 'cde':
            await daemon.lose(name, BAD)
        assert judge(daemon) is Verdict.HELD

    @pytest.mark.parametrize('count', [9, 45])
    async def test_each_crash_seen_by_other_daemons(self, count):
        """Crashes that daemons see one each add up within the contact time."""
        rng = random.Random(1)
        daemons = [
            CrashDaemon(*TARGETS, name=f'e{number}', daemons=count)
            for number in range(count)
        ]
        for name in TARGETS:
            sent_at = read_clock_with_suspend()
            await asyncio.sleep(0.4)
            for number in range(12):
                parts = [make_part(f'p{rng.randrange(40)}')]
                if not number:
                    parts.append(BAD)
                request = make_request(f'{name}-{number}')
                rng.choice(daemons).cut(name, request, *parts, sent_at=sent_at)
            for _ in range(3):
                await asyncio.sleep(0.1)
                self.send_rounds(daemons)
        assert {judge(daemon) for daemon in daemons} == {Verdict.HELD}

    def send_rounds(self, daemons: list[CrashDaemon]) -> None:
        """Let each daemon send one round of news to all others."""
        addresses = [daemon.name for daemon in daemons]
        for daemon in daemons:
            peers = [each for each in addresses if each != daemon.name]
            daemon.sender.send_round(peers, repeats=True)
            for content, address in daemon.sent:
                daemons[addresses.index(address)].receive(content)
            daemon.sent.clear()

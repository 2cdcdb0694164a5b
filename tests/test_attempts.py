"""Tests of :mod:`ragwortcourse.agent.attempts`."""

import asyncio
import copy

import pytest

from fakes.agents import (
    MODEL,
    VERSION,
    make_agent,
    make_attempt,
    make_service_attempt,
)
from fakes.engine_faults import EngineFaults
from fakes.engine_load import EngineLoad
from fakes.memory_engine import CRASH_MARK, MemoryEngine
from ragwortcourse.agent.attempts import bar_attempt, run_attempt
from ragwortcourse.agent.lifecycle import drain_agent, run_target_monitors
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.identifiers import ChangeId, Generation
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    AttemptAnswer,
    AttemptRefused,
)
from ragwortcourse.messages.attempt_report import AttemptState
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

pytestmark = pytest.mark.looptime
EIGHT_PERMITS = TargetLimits(cold=8, warm=8)


async def read_body(answer: AttemptAnswer) -> bytes:
    """Read an answer to its end and return the whole body."""
    return b''.join([chunk async for chunk in answer.body])


async def read_state(agent, attempt) -> AttemptState:
    """Return the reported state of an attempt after 30 s for clean-up."""
    await asyncio.sleep(30)
    report = await bar_attempt(agent, attempt.attempt, 1)
    return report.state


class TestRunAttempt:
    """Runs of one attempt at the target."""

    @pytest.mark.parametrize(
        ('fault', 'code', 'outcome', 'state'),
        [
            ('unreached', 'target_unreached', 'not_run', 'refused'),
            ('lost', 'target_lost', 'unknown', 'broken'),
            ('crossed', 'crossed_answer', 'unknown', 'broken'),
            ('wrong_version', 'wrong_version', 'unknown', 'broken'),
        ],
    )
    async def test_fault_before_the_body(self, fault, code, outcome, state):
        """A failed start or a mismatched answer gives the right outcome.

        Only an attempt that never reached the target counts as not run.
        """
        engine = MemoryEngine()
        engine.faults = EngineFaults(**{fault: 1})
        agent = make_agent(engine)
        attempt = make_attempt()
        refused = await run_attempt(agent, attempt)
        assert (refused.outcome.code, refused.outcome.kind) == (code, outcome)
        assert agent.gate.running == engine.load.running == 0
        assert engine.runs.total() == (outcome == 'unknown')
        assert await read_state(agent, attempt) == state

    @pytest.mark.parametrize('can_resume', [True, False])
    @pytest.mark.parametrize(
        'faults',
        [
            {'cut_after': [0]},
            {'cut_after': [70]},
            {'cut_after': [70, 0, 100]},
            {'no_end': 1},
        ],
    )
    async def test_stream_is_never_silently_short(self, faults, can_resume):
        """A broken stream is resumed if possible, else ends with an error.

        Guards against a truncated stream that looks complete.
        """
        engine = MemoryEngine(can_resume=can_resume)
        agent = make_agent(engine)
        whole = await read_body(await run_attempt(agent, make_attempt()))
        engine.faults = EngineFaults(**copy.deepcopy(faults))
        attempt = make_attempt()
        answer = await run_attempt(agent, attempt)
        if can_resume:
            assert await read_body(answer) == whole
            assert await read_state(agent, attempt) == 'completed'
        else:
            with pytest.raises(AnswerBrokenError):
                await read_body(answer)
            assert await read_state(agent, attempt) == 'broken'
        assert agent.gate.running == 0

    async def test_service_answer_is_never_resumed(self):
        """A truncated service answer ends with an error; the call runs once.

        A plain service would run the call again on a resume request.
        """
        engine = MemoryEngine(is_model_engine=False)
        engine.faults = EngineFaults(cut_after=[1])
        agent = make_agent(engine)
        attempt = make_service_attempt()
        answer = await run_attempt(agent, attempt)
        with pytest.raises(AnswerBrokenError):
            await read_body(answer)
        assert engine.runs.total() == 1
        assert engine.resumes == 0

    async def test_duplicate_runs_once(self):
        """A second attempt with the same id is refused while the first runs."""
        engine = MemoryEngine(is_model_engine=False)
        agent = make_agent(engine)
        attempt = make_service_attempt()
        first, second = await asyncio.gather(
            run_attempt(agent, attempt), run_attempt(agent, attempt)
        )
        assert isinstance(first, AttemptAnswer)
        assert isinstance(second, AttemptRefused)
        assert second.outcome.code == 'duplicate_attempt'
        assert await read_body(first)
        assert engine.runs.total() == 1

    @pytest.mark.parametrize('waits', [False, True])
    async def test_only_confirmed_versions_answer(self, waits):
        """A version removed before or during the queue wait gets no work."""
        engine = MemoryEngine()
        agent = make_agent(engine, limits=TargetLimits(cold=1, warm=1))
        first = await run_attempt(agent, make_attempt())
        asked = asyncio.create_task(run_attempt(agent, make_attempt()))
        await asyncio.sleep(0.01 if waits else 0)
        agent.served.remove(MODEL, VERSION)
        await read_body(first)
        assert (await asked).outcome.code == 'version_not_served'
        assert engine.runs.total() == 1

    async def test_deadline_while_the_target_works(self):
        """Work without an answer by the deadline is cancelled at the target."""
        engine = MemoryEngine(load=EngineLoad(latency=100))
        agent = make_agent(engine)
        attempt = make_attempt(time_left=1)
        refused = await run_attempt(agent, attempt)
        assert refused.outcome.code == 'deadline_passed'
        assert await read_state(agent, attempt) == 'broken'
        assert engine.cancelled == [attempt.attempt]
        assert agent.gate.running == engine.load.running == 0


class TestAbandonedAttempt:
    """Attempts whose entry daemon disconnects."""

    @pytest.mark.parametrize('chunks', [None, 0, 1])
    @pytest.mark.parametrize('idempotent', [True, False])
    async def test_work_ends_as_it_must(self, chunks, idempotent):
        """Idempotent work is cancelled; other work runs to its end.

        The daemon disconnects before the answer, before the first chunk or
        after it.
        """
        engine = MemoryEngine(load=EngineLoad(latency=1, pace=1))
        agent = make_agent(engine)
        attempt = make_attempt(idempotent=idempotent)
        working = asyncio.create_task(run_attempt(agent, attempt))
        if chunks is None:
            await asyncio.sleep(0.5)
            working.cancel()
        else:
            body = (await working).body
            for _ in range(chunks):
                await anext(body)
            await body.aclose()
        state = await read_state(agent, attempt)
        assert state == ('broken' if idempotent else 'completed')
        assert bool(engine.cancelled) == idempotent
        assert agent.gate.running == engine.load.running == 0

    async def test_reader_cancelled_in_mid_read(self):
        """Non-idempotent work completes after its reader is cancelled."""
        engine = MemoryEngine(load=EngineLoad(pace=5))
        agent = make_agent(engine)
        attempt = make_attempt(idempotent=False)
        answer = await run_attempt(agent, attempt)
        reading = asyncio.create_task(read_body(answer))
        await asyncio.sleep(1)
        reading.cancel()
        await asyncio.wait([reading])
        await asyncio.sleep(60)
        assert await read_state(agent, attempt) == 'completed'


class TestBarAttempt:
    """Reports that settle the outcome after a lost connection."""

    async def test_bar_wins_over_late_arrival(self):
        """An attempt that arrives after its bar request never runs."""
        engine = MemoryEngine()
        agent = make_agent(engine)
        await asyncio.sleep(60)
        attempt = make_attempt()
        report = await bar_attempt(agent, attempt.attempt, 1)
        assert report.proves_not_run
        refused = await run_attempt(agent, attempt)
        assert refused.outcome.code == 'barred'
        assert engine.runs.total() == 0

    async def test_bar_stops_what_waits(self):
        """An attempt that is barred while queued at the gate never runs."""
        engine = MemoryEngine()
        agent = make_agent(engine, limits=TargetLimits(cold=1, warm=1))
        first = await run_attempt(agent, make_attempt())
        attempt = make_attempt()
        waiting = asyncio.create_task(run_attempt(agent, attempt))
        await asyncio.sleep(0.01)
        report = await bar_attempt(agent, attempt.attempt, 0)
        await read_body(first)
        assert report.proves_not_run
        assert (await waiting).outcome.code == 'barred'
        assert engine.runs.total() == 1

    @pytest.mark.parametrize('lost_by', ['restart', 'eviction'])
    async def test_forgotten_is_said(self, lost_by):
        """An attempt whose record is lost is reported as forgotten.

        A restart or an eviction loses the record. A report that the attempt
        was barred would let work that has run be run again.
        """
        engine = MemoryEngine(is_model_engine=False)
        agent = make_agent(engine)
        await asyncio.sleep(60)
        attempt = make_service_attempt()
        await read_body(await run_attempt(agent, attempt))
        if lost_by == 'restart':
            agent = make_agent(engine)
        else:
            agent.records._max_records = 2
            for _ in range(3):
                later = await run_attempt(agent, make_service_attempt())
                await read_body(later)
        await asyncio.sleep(1)
        report = await bar_attempt(agent, attempt.attempt, 2)
        assert report.state is AttemptState.FORGOTTEN


class TestClosing:
    """Withdrawal of a target and draining of its agent."""

    @pytest.mark.parametrize('how', ['withdrawn', 'leaving'])
    async def test_nothing_new_and_nothing_cut(self, how):
        """Running work completes; queued and new work is refused."""
        engine = MemoryEngine(load=EngineLoad(pace=1))
        agent = make_agent(engine, limits=TargetLimits(cold=1, warm=1))
        watching = asyncio.create_task(run_target_monitors(agent))
        answer = await run_attempt(agent, make_attempt())
        waiting = asyncio.create_task(run_attempt(agent, make_attempt()))
        await asyncio.sleep(0.1)
        if how == 'withdrawn':
            agent.holder.withdraw(
                Withdrawal(
                    change=ChangeId('change-2'),
                    scope=WithdrawalScope.FAILURE_DOMAIN,
                    name='attica-a',
                    generation=Generation(1),
                ),
            )
        else:
            draining = asyncio.create_task(drain_agent(agent))
        async with asyncio.timeout(0.1):
            assert (await waiting).outcome.code == how
            refused = await run_attempt(agent, make_attempt())
        assert (refused.outcome.code, refused.outcome.kind) == (how, 'not_run')
        assert (await read_body(answer)).endswith(b'data: [DONE]\n\n')
        if how == 'leaving':
            async with asyncio.timeout(1):
                await draining
        watching.cancel()


class TestCrashSuspects:
    """Requests that crash their target."""

    async def test_all_under_way_at_first_then_the_suspect_alone(self):
        """The first crash accuses all requests in flight.

        A second crash while a suspect runs accuses only the suspect.
        """
        engine = MemoryEngine(load=EngineLoad(latency=1, pace=1))
        agent = make_agent(engine, limits=EIGHT_PERMITS)
        agent.limit.note_state(await engine.describe())
        innocent = await run_attempt(agent, make_attempt(fingerprint='good'))
        crash_request = {'body': CRASH_MARK, 'fingerprint': 'bad'}
        refused = await run_attempt(agent, make_attempt(**crash_request))
        assert refused.suspect
        with pytest.raises(AnswerBrokenError):
            await read_body(innocent)
        assert set(agent.suspects.fingerprints) == {'good', 'bad'}
        restarted = make_agent(engine, limits=EIGHT_PERMITS)
        await asyncio.sleep(1)
        restarted.limit.note_state(await engine.describe())
        other = await run_attempt(restarted, make_attempt(fingerprint='other'))
        refused = await run_attempt(
            restarted, make_attempt(**crash_request, suspect=True)
        )
        assert refused.suspect
        with pytest.raises(AnswerBrokenError):
            await read_body(other)
        assert restarted.suspects.fingerprints == ('bad',)

    async def test_suspicion_ends(self):
        """A clean run clears suspicion at once; the rest expires with time."""
        engine = MemoryEngine()
        agent = make_agent(engine, limits=EIGHT_PERMITS)
        agent.limit.note_state(await engine.describe())
        answer = await run_attempt(agent, make_attempt(fingerprint='one'))
        other = await run_attempt(agent, make_attempt(fingerprint='two'))
        engine.die()
        for broken in (answer, other):
            with pytest.raises(AnswerBrokenError):
                await read_body(broken)
        await asyncio.sleep(1)
        retried = make_attempt(fingerprint='one', suspect=True)
        await read_body(await run_attempt(agent, retried))
        assert agent.suspects.fingerprints == ('two',)
        await asyncio.sleep(3600)
        assert not agent.suspects.fingerprints

    @pytest.mark.parametrize(
        ('end', 'suspects'),
        [('resumes', set()), ('restarts', {'lost', 'good'})],
    )
    async def test_silence_of_a_target_accuses_its_requests(
        self, end, suspects
    ):
        """A short silence after a lost answer is no crash by itself.

        Only another instance after the silence tells of a crash.
        """
        engine = MemoryEngine(load=EngineLoad(latency=0.1, pace=1))
        agent = make_agent(engine, limits=EIGHT_PERMITS)
        agent.limit.note_state(await engine.describe())
        innocent = await run_attempt(agent, make_attempt(fingerprint='good'))
        engine.faults = EngineFaults(silent=True, lost=1)
        refused = await run_attempt(agent, make_attempt(fingerprint='lost'))
        assert refused.outcome.code == 'target_lost'
        await asyncio.sleep(1.3)
        if end == 'restarts':
            engine.die(downtime=0)
        engine.faults.silent = False
        await asyncio.sleep(1)
        assert set(agent.suspects.fingerprints) == suspects
        await innocent.body.aclose()

    async def test_target_that_stays_silent(self):
        """A target that stays silent after a lost answer has crashed.

        Requests that end well meanwhile, or begin later, are not suspect.
        """
        load = EngineLoad(latency=0.1, pace=0.1, cold=8)
        engine = MemoryEngine(load=load)
        agent = make_agent(engine, limits=EIGHT_PERMITS)
        agent.limit.note_state(await engine.describe())
        begun = [
            await run_attempt(agent, make_attempt(fingerprint=fingerprint))
            for fingerprint in ('ends', 'hangs')
        ]
        engine.faults = EngineFaults(silent=True, lost=2)
        for fingerprint in ('lost', 'later'):
            await run_attempt(agent, make_attempt(fingerprint=fingerprint))
        await read_body(begun[0])
        await asyncio.sleep(10)
        assert set(agent.suspects.fingerprints) == {'lost', 'hangs'}
        await begun[1].body.aclose()

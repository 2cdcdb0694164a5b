"""Tests of :mod:`ragwortcourse.entry.calls`."""

import asyncio
import dataclasses
import itertools
import math
from collections import Counter

import pytest

from fakes.entries import (
    make_booking_call,
    make_entry,
    make_model_call,
    make_record,
)
from fakes.scripted_agents import ScriptedAgents, ScriptedResult
from ragwortcourse.clock import read_clock
from ragwortcourse.entry.attempts import ATTEMPTS_LIMIT
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.entry.entry import EntryState, drain_entry
from ragwortcourse.entry.retry_scheduler import LONGEST_WAIT_SECONDS
from ragwortcourse.identifiers import RequestId, TargetName
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.call import Call, CallAnswer
from ragwortcourse.messages.decision import DecisionPoint

pytestmark = pytest.mark.looptime

WHOLE = b'one two'


def make_model_entry(agents: ScriptedAgents) -> EntryState:
    """Build an entry daemon with a near and a far model target."""
    return make_entry(
        agents.build_port(),
        make_record('near', deployment='caption-llm'),
        make_record('far', deployment='caption-llm', failure_domain='crete-a'),
    )


def make_service_entry(agents: ScriptedAgents) -> EntryState:
    """Build an entry daemon with a near and a far service target."""
    return make_entry(
        agents.build_port(),
        make_record('near'),
        make_record('far', failure_domain='crete-a'),
    )


async def collect(entry: EntryState, call: Call) -> str:
    """Serve a call; return ``whole``, ``broken`` or its outcome and code."""
    outcome = await serve_call(entry, call)
    if not isinstance(outcome, CallAnswer):
        return f'{outcome.error.outcome} {outcome.error.code}'
    try:
        body = b''.join([chunk async for chunk in outcome.body])
    except AnswerBrokenError:
        return 'broken'
    assert body == WHOLE
    return 'whole'


class TestLostConnections:
    """Results for callers and retries after lost connections."""

    @pytest.mark.parametrize(
        ('turn', 'result', 'sent'),
        [
            (ScriptedResult.ANSWER, 'whole', 1),
            (ScriptedResult.FULL, 'whole', 2),
            (ScriptedResult.UNREACHED, 'whole', 2),
            (ScriptedResult.LOST_BEFORE, 'whole', 2),
            (ScriptedResult.LOST_DURING, 'whole', 2),
            (ScriptedResult.LOST_AFTER, 'whole', 2),
            (ScriptedResult.EMPTY, 'whole', 2),
            (ScriptedResult.SHORT, 'broken', 1),
            (ScriptedResult.WRONG_VERSION, 'whole', 2),
            (ScriptedResult.HANG, 'unknown outcome_unknown', 1),
        ],
    )
    async def test_idempotent(self, turn, result, sent):
        """Idempotent work is retried at another target.

        Once a byte has gone to the caller, no retry is possible. An attempt
        that hangs until the deadline leaves no time for a retry.
        """
        agents = ScriptedAgents()
        agents.script('near', turn)
        entry = make_model_entry(agents)
        assert await collect(entry, make_model_call()) == result
        assert len(agents.sent) == sent
        assert not entry.calls_in_flight
        assert {one.in_flight for one in entry.directory.records} == {0}

    @pytest.mark.parametrize(
        ('turn', 'result', 'sent'),
        [
            (ScriptedResult.ANSWER, 'whole', 1),
            (ScriptedResult.FULL, 'whole', 2),
            (ScriptedResult.UNREACHED, 'whole', 2),
            (ScriptedResult.LOST_BEFORE, 'not_run target_unreached', 1),
            (ScriptedResult.LOST_DURING, 'unknown outcome_unknown', 1),
            (ScriptedResult.LOST_AFTER, 'completed answer_lost', 1),
            (ScriptedResult.EMPTY, 'unknown outcome_unknown', 1),
            (ScriptedResult.SHORT, 'broken', 1),
            (ScriptedResult.CRASH, 'unknown target_lost', 1),
            (ScriptedResult.HANG, 'unknown outcome_unknown', 1),
        ],
    )
    async def test_not_idempotent(self, turn, result, sent):
        """Non-idempotent work without a key runs at most once.

        It is sent again only if it was refused or there was no connection;
        after a lost connection, the agent reports its outcome.
        """
        agents = ScriptedAgents()
        agents.script('near', turn)
        entry = make_service_entry(agents)
        assert await collect(entry, make_booking_call()) == result
        assert len(agents.sent) == sent
        assert len(agents.ran) <= 1

    async def test_unknown_is_logged(self, caplog):
        """A call with an unknown outcome is logged with its decisions."""
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.LOST_DURING)
        call = make_booking_call()
        await collect(make_service_entry(agents), call)
        [line] = [one for one in caplog.records if 'unknown' in one.message]
        assert line.request == call.request
        assert 'asked the agent' in [one['chosen'] for one in line.decisions]

    @pytest.mark.parametrize(
        'path',
        ['/bookings/7', '//bookings', '/%62ookings', '/x/../bookings?a=b'],
    )
    async def test_other_spellings_are_not_idempotent_either(self, path):
        """Another spelling of a non-idempotent path is not retried either.

        Matching the raw path against the patterns could run such work
        twice.
        """
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.LOST_DURING)
        entry = make_service_entry(agents)
        call = dataclasses.replace(make_booking_call(), path=path)
        assert await collect(entry, call) == 'unknown outcome_unknown'
        assert len(agents.sent) == 1

    async def test_late_attempt_is_barred(self):
        """An attempt that arrives after it was reported as not run is refused.

        Otherwise, work that the caller believes not run would still run.
        """
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.LATE)
        entry = make_service_entry(agents)
        result = await collect(entry, make_booking_call())
        assert result == 'not_run target_unreached'
        await agents.start(*agents.sent[0])
        assert not agents.ran

    async def test_silent_agent_means_unknown_at_once(self):
        """If the agent does not answer, the outcome is unknown.

        The caller gets an error without waiting for the deadline.
        """
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.LOST_BEFORE)
        agents.silent.add('near')
        entry = make_service_entry(agents)
        call = make_booking_call(time_left=60)
        async with asyncio.timeout(3):
            result = await collect(entry, call)
        assert result == 'unknown outcome_unknown'

    async def test_late_report_does_not_count(self):
        """A report after the time limit of the agent port is not accepted."""
        agents = ScriptedAgents()
        agents.seconds = 5
        agents.script('near', ScriptedResult.LOST_BEFORE)
        entry = make_service_entry(agents)
        call = make_booking_call(time_left=60)
        assert await collect(entry, call) == 'unknown outcome_unknown'

    async def test_doubt_outlives_a_later_refusal(self):
        """A refusal after an attempt that may have run does not hide it.

        The outcome for the caller stays unknown instead of not run.
        """
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.LOST_DURING)
        agents.script('far', ScriptedResult.FULL)
        entry = make_model_entry(agents)
        result = await collect(entry, make_model_call())
        assert result == 'unknown outcome_unknown'


class TestNewVersion:
    """Versions that targets started to serve after their last status."""

    async def test_refusal_tells_what_is_served(self):
        """A call is retried at a target that now serves another version.

        The refusal lists the versions that the target serves.
        """
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.NEWER, ScriptedResult.NEWER)
        agents.script('far', ScriptedResult.NEWER, ScriptedResult.NEWER)
        entry = make_model_entry(agents)
        assert await collect(entry, make_model_call()) == 'whole'
        assert {attempt.version for _, attempt in agents.ran} == {'v3'}

    async def test_more_targets_changed_than_a_call_has_tries(self):
        """A call is served although its first targets all changed versions."""
        agents = ScriptedAgents()
        names = [f'target-{number}' for number in range(ATTEMPTS_LIMIT + 2)]
        for name in names:
            agents.script(name, *itertools.repeat(ScriptedResult.NEWER, 9))
        entry = make_entry(
            agents.build_port(),
            *(make_record(name, deployment='caption-llm') for name in names),
        )
        assert await collect(entry, make_model_call()) == 'whole'
        assert len(agents.sent) <= len(names) + 1

    async def test_change_is_learned_by_two_calls_at_once(self):
        """A call that learns of a change second is retried as well."""
        agents = ScriptedAgents()
        agents.seconds = 0.1
        agents.script('only', *itertools.repeat(ScriptedResult.NEWER, 9))
        entry = make_entry(
            agents.build_port(), make_record('only', deployment='caption-llm')
        )
        told = await asyncio.gather(
            collect(entry, make_model_call()),
            collect(entry, make_model_call('r2')),
        )
        assert told == ['whole', 'whole']

    async def test_retries_are_spent(self):
        """A call follows a change of version without the retry budget."""
        agents = ScriptedAgents()
        agents.script('near', *itertools.repeat(ScriptedResult.NEWER, 9))
        agents.script('far', *itertools.repeat(ScriptedResult.NEWER, 9))
        entry = make_model_entry(agents)
        while entry.budget.spend(TargetName('near')):
            """Spend what is left."""
        assert await collect(entry, make_model_call()) == 'whole'

    async def test_target_that_changes_with_each_try(self):
        """A target is asked again once only, whatever it says it serves."""
        agents = ScriptedAgents()
        agents.script('only', *itertools.repeat(ScriptedResult.FICKLE, 20))
        entry = make_entry(
            agents.build_port(), make_record('only', deployment='caption-llm')
        )
        told = await collect(entry, make_model_call())
        assert told == 'not_run version_not_served'
        assert len(agents.sent) == 2


class TestDrain:
    """Planned stop of an entry daemon."""

    async def test_answer_under_way_is_finished(self):
        """A drain refuses new calls and waits for answers in flight."""
        agents = ScriptedAgents()
        entry = make_model_entry(agents)
        answer = await serve_call(entry, make_model_call())
        assert isinstance(answer, CallAnswer)
        draining = asyncio.create_task(drain_entry(entry))
        await asyncio.sleep(5)
        assert not draining.done()
        result = await collect(entry, make_model_call('r2'))
        assert result == 'not_run draining'
        assert [chunk async for chunk in answer.body] == [b'one ', b'two']
        await asyncio.wait_for(draining, 1)


class TestRecords:
    """Decisions that ``explain`` shows for a request."""

    async def test_decisions_are_kept_in_order(self):
        """The record of a retried request names the skipped target and why."""
        agents = ScriptedAgents()
        agents.script('near', ScriptedResult.FULL)
        entry = make_model_entry(agents)
        await collect(entry, make_model_call())
        record = entry.records.find(RequestId('r1'))
        assert record is not None
        points = [decision.point for decision in record.decisions]
        assert points == [
            DecisionPoint.ADMISSION,
            DecisionPoint.ROUTE,
            DecisionPoint.GATE,
            DecisionPoint.RETRY,
            DecisionPoint.VERSION,
            DecisionPoint.OUTCOME,
        ]
        assert record.decisions[3].turned_down == {'near': 'tried before'}


class TestReturns:
    """Times at which refused callers are asked to retry."""

    async def refuse(self, entry: EntryState, count: int) -> list[float]:
        """Refuse ``count`` calls at once; return the retry times in seconds."""
        asked_at = read_clock()
        waits = []
        for number in range(count):
            call = make_model_call(f'r{number}')
            outcome = await serve_call(entry, call)
            waits.append(outcome.error.retry_after)
        assert read_clock() == asked_at
        return waits

    async def test_refused_together_come_back_apart(self):
        """Retries per second stay within twice the peak rate of one daemon.

        Without spreading, callers that are refused together retry together.
        """
        entry = make_entry(ScriptedAgents().build_port())
        waits = await self.refuse(entry, 300)
        seconds = Counter(math.ceil(wait) for wait in waits)
        assert max(seconds.values()) <= 2 * 5200 / 350

    async def test_more_than_there_are_turns(self):
        """With more refusals than slots, waits stay bounded and are spread."""
        entry = make_entry(ScriptedAgents().build_port())
        waits = await self.refuse(entry, 5000)
        assert max(waits) <= LONGEST_WAIT_SECONDS + 2
        seconds = Counter(math.ceil(wait) for wait in waits)
        assert max(seconds.values()) <= 5000 / 20

    async def test_lone_refusal_waits_no_longer_than_it_must(self):
        """Slots in the past do not delay a later refusal."""
        entry = make_entry(ScriptedAgents().build_port())
        await self.refuse(entry, 300)
        await asyncio.sleep(300 * 350 / 5200)
        (wait,) = await self.refuse(entry, 1)
        assert 1 <= wait <= 2

"""Tests of :mod:`ragwortcourse.entry.calls`."""

import asyncio
import dataclasses
import math
from collections import Counter

import pytest

from fakes.entries import (
    make_booking_call,
    make_entry,
    make_model_call,
    make_record,
)
from fakes.scripted_agents import ScriptedAgents, Turn
from ragwortcourse.clock import read_clock
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.entry.entry import EntryState, drain_entry
from ragwortcourse.entry.retry_scheduler import LONGEST_WAIT_SECONDS
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.call import Call, CallAnswer
from ragwortcourse.messages.decision import DecisionPoint

pytestmark = pytest.mark.looptime

WHOLE = b'one two'


def make_model_entry(agents: ScriptedAgents) -> EntryState:
    """An entry daemon with a model target in its own failure domain."""
    return make_entry(
        agents.build_port(),
        make_record('near', deployment='caption-llm'),
        make_record('far', deployment='caption-llm', failure_domain='crete-a'),
    )


def make_service_entry(agents: ScriptedAgents) -> EntryState:
    """An entry daemon with a service target in its own failure domain."""
    return make_entry(
        agents.build_port(),
        make_record('near'),
        make_record('far', failure_domain='crete-a'),
    )


async def collect(entry: EntryState, call: Call) -> str:
    """What the caller got: ``whole``, ``broken`` or outcome and code."""
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
    """What a caller is told, and what is tried elsewhere."""

    @pytest.mark.parametrize(
        ('turn', 'told', 'sent'),
        [
            (Turn.ANSWER, 'whole', 1),
            (Turn.FULL, 'whole', 2),
            (Turn.UNREACHED, 'whole', 2),
            (Turn.LOST_BEFORE, 'whole', 2),
            (Turn.LOST_DURING, 'whole', 2),
            (Turn.LOST_AFTER, 'whole', 2),
            (Turn.EMPTY, 'whole', 2),
            (Turn.SHORT, 'broken', 1),
            (Turn.WRONG_VERSION, 'whole', 2),
            (Turn.HANG, 'unknown outcome_unknown', 1),
        ],
    )
    async def test_idempotent(self, turn, told, sent):
        """Idempotent work goes elsewhere until a byte has gone out."""
        agents = ScriptedAgents()
        agents.script('near', turn)
        entry = make_model_entry(agents)
        assert await collect(entry, make_model_call()) == told
        assert len(agents.sent) == sent
        assert not entry.calls_in_flight
        assert {one.in_flight for one in entry.directory.records} == {0}

    @pytest.mark.parametrize(
        ('turn', 'told', 'sent'),
        [
            (Turn.ANSWER, 'whole', 1),
            (Turn.FULL, 'whole', 2),
            (Turn.UNREACHED, 'whole', 2),
            (Turn.LOST_BEFORE, 'not_run target_unreached', 1),
            (Turn.LOST_DURING, 'unknown outcome_unknown', 1),
            (Turn.LOST_AFTER, 'completed answer_lost', 1),
            (Turn.EMPTY, 'unknown outcome_unknown', 1),
            (Turn.SHORT, 'broken', 1),
            (Turn.CRASH, 'unknown target_lost', 1),
            (Turn.HANG, 'unknown outcome_unknown', 1),
        ],
    )
    async def test_not_idempotent(self, turn, told, sent):
        """Work without a key is sent once, and its outcome is asked for."""
        agents = ScriptedAgents()
        agents.script('near', turn)
        entry = make_service_entry(agents)
        assert await collect(entry, make_booking_call()) == told
        assert len(agents.sent) == sent
        assert len(agents.ran) <= 1

    async def test_unknown_is_logged(self, caplog):
        """An outcome that nobody can tell leaves what was decided on it."""
        agents = ScriptedAgents()
        agents.script('near', Turn.LOST_DURING)
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
        """A path written otherwise is held to the same promise."""
        agents = ScriptedAgents()
        agents.script('near', Turn.LOST_DURING)
        entry = make_service_entry(agents)
        call = dataclasses.replace(make_booking_call(), path=path)
        assert await collect(entry, call) == 'unknown outcome_unknown'
        assert len(agents.sent) == 1

    async def test_late_attempt_is_barred(self):
        """A request told not to have run does not run when it comes late."""
        agents = ScriptedAgents()
        agents.script('near', Turn.LATE)
        entry = make_service_entry(agents)
        told = await collect(entry, make_booking_call())
        assert told == 'not_run target_unreached'
        await agents.start(*agents.sent[0])
        assert not agents.ran

    async def test_silent_agent_means_unknown_at_once(self):
        """Nobody to ask: the outcome is unknown, told before the deadline."""
        agents = ScriptedAgents()
        agents.script('near', Turn.LOST_BEFORE)
        agents.silent.add('near')
        entry = make_service_entry(agents)
        call = make_booking_call(time_left=60)
        async with asyncio.timeout(3):
            told = await collect(entry, call)
        assert told == 'unknown outcome_unknown'

    async def test_late_report_does_not_count(self):
        """A report that comes too late proves nothing."""
        agents = ScriptedAgents()
        agents.seconds = 5
        agents.script('near', Turn.LOST_BEFORE)
        entry = make_service_entry(agents)
        call = make_booking_call(time_left=60)
        assert await collect(entry, call) == 'unknown outcome_unknown'

    async def test_doubt_outlives_a_later_refusal(self):
        """After an attempt that may have run, no refusal says not run."""
        agents = ScriptedAgents()
        agents.script('near', Turn.LOST_DURING)
        agents.script('far', Turn.FULL)
        entry = make_model_entry(agents)
        told = await collect(entry, make_model_call())
        assert told == 'unknown outcome_unknown'


class TestNewVersion:
    """A version that targets began to serve since their last status."""

    async def test_refusal_tells_what_is_served(self):
        """The call goes on at a target that changed its version."""
        agents = ScriptedAgents()
        agents.script('near', Turn.NEWER, Turn.NEWER)
        agents.script('far', Turn.NEWER, Turn.NEWER)
        entry = make_model_entry(agents)
        assert await collect(entry, make_model_call()) == 'whole'
        assert {attempt.version for _, attempt in agents.ran} == {'v3'}


class TestDrain:
    """Planned stop of an entry daemon."""

    async def test_answer_under_way_is_finished(self):
        """A drain refuses what is new and ends after what is under way."""
        agents = ScriptedAgents()
        entry = make_model_entry(agents)
        answer = await serve_call(entry, make_model_call())
        assert isinstance(answer, CallAnswer)
        draining = asyncio.create_task(drain_entry(entry))
        await asyncio.sleep(5)
        assert not draining.done()
        told = await collect(entry, make_model_call('r2'))
        assert told == 'not_run draining'
        assert [chunk async for chunk in answer.body] == [b'one ', b'two']
        await asyncio.wait_for(draining, 1)


class TestRecords:
    """What ``explain`` shows of a request."""

    async def test_decisions_are_kept_in_order(self):
        """A retried request's record names both targets and the reason."""
        agents = ScriptedAgents()
        agents.script('near', Turn.FULL)
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
    """When refused callers are asked to come back."""

    async def refuse(self, entry: EntryState, count: int) -> list[float]:
        """Refuse so many calls now; seconds until each may come back."""
        asked_at = read_clock()
        waits = []
        for number in range(count):
            call = make_model_call(f'r{number}')
            outcome = await serve_call(entry, call)
            waits.append(outcome.error.retry_after)
        assert read_clock() == asked_at
        return waits

    async def test_refused_together_come_back_apart(self):
        """No second brings back twice what a daemon serves at the peak."""
        entry = make_entry(ScriptedAgents().build_port())
        waits = await self.refuse(entry, 300)
        seconds = Counter(math.ceil(wait) for wait in waits)
        assert max(seconds.values()) <= 2 * 5200 / 350

    async def test_more_than_there_are_turns(self):
        """Even a flood of refusals gets a bounded wait, and is spread."""
        entry = make_entry(ScriptedAgents().build_port())
        waits = await self.refuse(entry, 5000)
        assert max(waits) <= LONGEST_WAIT_SECONDS + 2
        seconds = Counter(math.ceil(wait) for wait in waits)
        assert max(seconds.values()) <= 5000 / 20

    async def test_lone_refusal_waits_no_longer_than_it_must(self):
        """Turns that have passed count no more."""
        entry = make_entry(ScriptedAgents().build_port())
        await self.refuse(entry, 300)
        await asyncio.sleep(300 * 350 / 5200)
        (wait,) = await self.refuse(entry, 1)
        assert 1 <= wait <= 2

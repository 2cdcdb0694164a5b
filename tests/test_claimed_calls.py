"""Tests of :mod:`ragwortcourse.entry.claimed_calls`."""

import asyncio
import dataclasses
import hashlib
from collections import Counter

import pytest

from fakes.entries import (
    make_booking_call,
    make_entry,
    make_model_call,
    make_record,
)
from fakes.faults import Fault, Faults
from fakes.memory_table import MemoryRows
from fakes.scripted_agents import ScriptedAgents, ScriptedResult
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.entry.claim import ClaimState
from ragwortcourse.entry.claim_results import FLUSH_SECONDS, RESULT_BATCH
from ragwortcourse.entry.claims import decode_claim
from ragwortcourse.entry.entry import EntryState, drain_entry, stop_entry
from ragwortcourse.identifiers import IdempotencyKey
from ragwortcourse.messages.call import Call, CallAnswer
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    TableKey,
)
from tests.test_calls import collect

pytestmark = pytest.mark.looptime

OUTCOME_UNKNOWN = 'unknown outcome_unknown'
ANSWER_LOST = 'completed answer_lost'
CLAIM_KEY = TableKey(f'claims/studio/{hashlib.sha256(b"k").hexdigest()}')


def make_claimed_model_call(name: str = 'r1') -> Call:
    """Build a model call that may run at most once, with a key."""
    return dataclasses.replace(
        make_model_call(name),
        idempotent=False,
        idempotency_key=IdempotencyKey('k'),
    )


class Site:
    """Two entry daemons with the same targets and the same table.

    :param deployment: deployment of the targets.
    """

    def __init__(self, deployment: str = 'booking-app') -> None:
        self._deployment = deployment
        self.rows = MemoryRows()
        self.agents = ScriptedAgents()
        self.faults = {'a': Faults(), 'b': Faults()}
        self.a = self.make_entry('a')
        self.b = self.make_entry('b')

    def make_entry(self, name: str) -> EntryState:
        """Build one entry daemon."""
        return make_entry(
            self.agents.build_port(),
            make_record('near', deployment=self._deployment),
            make_record(
                'far',
                deployment=self._deployment,
                failure_domain='crete-a',
            ),
            rows=self.rows,
            faults=self.faults[name],
            daemon=name,
        )


class TestResend:
    """Resends of an idempotency key to another entry daemon."""

    @pytest.mark.parametrize(
        ('turn', 'first', 'second'),
        [
            (ScriptedResult.ANSWER, 'whole', 'whole'),
            (ScriptedResult.FULL, 'whole', 'whole'),
            (ScriptedResult.LOST_BEFORE, 'whole', 'whole'),
            (
                ScriptedResult.LOST_DURING,
                OUTCOME_UNKNOWN,
                'unknown in_progress',
            ),
            (ScriptedResult.LOST_AFTER, ANSWER_LOST, ANSWER_LOST),
            (ScriptedResult.EMPTY, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN),
            (ScriptedResult.SHORT, 'broken', OUTCOME_UNKNOWN),
            (ScriptedResult.CRASH, 'unknown target_lost', OUTCOME_UNKNOWN),
        ],
    )
    async def test_runs_once(self, turn, first, second):
        """The work runs once, whatever the outcome of the first request."""
        site = Site()
        site.agents.script('near', turn)
        assert await collect(site.a, make_booking_call(key='k')) == first
        await asyncio.sleep(1)
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == second
        assert len(site.agents.ran) == 1

    async def test_daemon_that_repeated_an_answer_can_drain(self):
        """A replayed answer ends its call, so that a drain does not hang."""
        site = Site()
        for entry in (site.a, site.b):
            assert await collect(entry, make_booking_call(key='k')) == 'whole'
        await asyncio.wait_for(drain_entry(site.b), timeout=1)

    async def test_both_refused_runs_at_the_resend(self):
        """A key may be claimed again if the first work provably did not run."""
        site = Site()
        site.agents.script('near', ScriptedResult.FULL)
        site.agents.script('far', ScriptedResult.FULL)
        told = await collect(site.a, make_booking_call(key='k'))
        assert told == 'not_run full'
        await asyncio.sleep(1)
        # The claim itself records this, so no agent has to answer.
        site.agents.silent.update(('near', 'far'))
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == 'whole'
        assert len(site.agents.ran) == 1

    async def test_refused_and_no_target_left(self):
        """A resend without a usable target is refused as not run.

        The resend must not report the work as in progress, and the key stays
        free for a later resend.
        """
        site = Site()
        site.agents.script('near', ScriptedResult.FULL)
        site.agents.script('far', ScriptedResult.FULL)
        await collect(site.a, make_booking_call(key='k'))
        await asyncio.sleep(1)
        for record in site.b.directory.records:
            record.leaving = True
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == 'not_run no_target'
        for record in site.b.directory.records:
            record.leaving = False
        told = await collect(site.b, make_booking_call('r3', key='k'))
        assert told == 'whole'
        assert len(site.agents.ran) == 1

    async def test_another_body_is_refused(self):
        """A resend of a key with another body is refused."""
        site = Site()
        await collect(site.a, make_booking_call(key='k'))
        other = make_booking_call('r2', key='k', body=b'another booking')
        told = await collect(site.b, other)
        assert told == 'not_run idempotency_key_reused'

    async def test_both_daemons_at_once(self):
        """Concurrent requests with the same key at two daemons run once."""
        site = Site()
        site.agents.seconds = 0.1
        told = await asyncio.gather(
            collect(site.a, make_booking_call(key='k')),
            collect(site.b, make_booking_call('r2', key='k')),
        )
        assert told == ['whole', 'whole']
        assert len(site.agents.ran) == 1

    async def test_barred_by_one_who_could_not_take_it_over(self):
        """Work barred by a daemon that could not take it over is not run.

        The first daemon reports this, and the key may be claimed again.
        """
        site = Site()
        site.agents.seconds = 1.5
        site.agents.script('near', ScriptedResult.FULL)
        site.agents.silent = {'near'}
        first, second = await asyncio.gather(
            collect(site.a, make_booking_call(key='k')),
            collect(site.b, make_booking_call('r2', key='k')),
        )
        assert (first, second) == ('not_run barred', OUTCOME_UNKNOWN)
        await asyncio.sleep(1)
        third = await collect(site.b, make_booking_call('r3', key='k'))
        assert third == 'whole'
        assert len(site.agents.ran) == 1


class TestNewVersion:
    """Claimed work at targets that started to serve another version."""

    async def test_target_asked_twice_does_not_hide_the_next(self):
        """A resend asks each target about the attempt that was sent there.

        The first target is asked twice, as it serves another version by now,
        before the second one runs the work, whose answer is lost.
        """
        site = Site('caption-llm')
        site.agents.script('near', ScriptedResult.NEWER, ScriptedResult.FULL)
        site.agents.script('far', ScriptedResult.LOST_DURING)
        told = await collect(site.a, make_claimed_model_call())
        assert told == OUTCOME_UNKNOWN
        await asyncio.sleep(1)
        told = await collect(site.b, make_claimed_model_call('r2'))
        assert told == 'unknown in_progress'
        assert len(site.agents.ran) == 1

    async def test_all_targets_changed(self):
        """Claimed work follows its targets to the version that they serve."""
        site = Site('caption-llm')
        for name in ('near', 'far'):
            site.agents.script(name, *(ScriptedResult.NEWER for _ in range(9)))
        assert await collect(site.a, make_claimed_model_call()) == 'whole'
        assert [one.version for _, one in site.agents.ran] == ['v3']


class TestKilledDaemon:
    """Entry daemons that die or pause, with a resend to another daemon."""

    @pytest.mark.parametrize(
        ('seconds', 'told'),
        [
            (0.05, 'whole'),  # the claim write is in flight and takes effect
            (0.15, 'whole'),  # the claim is written, the agent got nothing
            (0.35, 'unknown in_progress'),  # the engine runs the work
        ],
    )
    async def test_killed_at_each_step(self, seconds, told):
        """A resend asks the agents named in the claim; the work runs once."""
        site = Site()
        site.faults['a'].set(Fault.SLOW, seconds=0.1)
        site.agents.seconds = 0.2
        site.agents.script('near', ScriptedResult.HANG)
        first = asyncio.create_task(
            serve_call(site.a, make_booking_call(key='k'))
        )
        await asyncio.sleep(seconds)
        first.cancel()
        site.agents.script('near')
        await asyncio.sleep(10)
        second = await collect(site.b, make_booking_call('r2', key='k'))
        assert second == told
        assert len(site.agents.ran) == 1

    async def test_killed_before_the_result_is_written(self):
        """The answer is lost with the daemon; the work does not run twice."""
        site = Site()
        answer = await serve_call(site.a, make_booking_call(key='k'))
        assert isinstance(answer, CallAnswer)
        site.faults['a'].set(Fault.DOWN)
        async for _ in answer.body:
            pass
        await asyncio.sleep(10)
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == 'completed answer_lost'
        assert len(site.agents.ran) == 1

    async def test_stopped_before_the_result_is_written(self):
        """A planned stop writes the result, so a resend gets the answer."""
        site = Site()
        assert await collect(site.a, make_booking_call(key='k')) == 'whole'
        await drain_entry(site.a)
        site.faults['a'].set(Fault.DOWN)
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == 'whole'
        assert len(site.agents.ran) == 1

    async def test_paused_daemon_wakes_after_agents_restarted(self):
        """A paused daemon reads its old claim again before it sends work."""
        site = Site()
        site.faults['a'].set(Fault.SLOW, seconds=30, times=1)
        first = asyncio.create_task(
            collect(site.a, make_booking_call(key='k', time_left=60))
        )
        await asyncio.sleep(15)
        await collect(site.b, make_booking_call('r2', key='k'))
        site.agents.states.clear()
        assert await first == 'whole'
        assert len(site.agents.ran) == 1

    async def test_paused_daemon_wakes_after_its_claim_was_barred(self):
        """Work sent late by a paused daemon does not run a second time."""
        site = Site()
        # The pause falls between the claim and the dispatch.
        site.faults['a'].set(Fault.SLOW, seconds=30, times=1)
        first = asyncio.create_task(
            collect(site.a, make_booking_call(key='k', time_left=60))
        )
        await asyncio.sleep(15)
        assert (
            await collect(site.b, make_booking_call('r2', key='k')) == 'whole'
        )
        assert await first == 'whole'
        assert len(site.agents.ran) == 1


class TestTableFaults:
    """Outages and lost answers of the table service."""

    @pytest.mark.parametrize('fault', [Fault.DOWN, Fault.REFUSED])
    async def test_outage_refuses_at_once(self, fault):
        """Without the table, work is refused as not run and nothing is sent."""
        site = Site()
        site.faults['a'].set(fault)
        told = await collect(site.a, make_booking_call(key='k'))
        assert told == 'not_run claims_unavailable'
        assert not site.agents.sent

    @pytest.mark.parametrize(
        'content', [b'odd', b'{"a":%s}' % (b'[' * 100_000)]
    )
    async def test_odd_claim_fails_the_call(self, content, caplog):
        """A call whose claim can't be read is refused; it may have run."""
        site = Site()
        assert await collect(site.a, make_booking_call(key='k')) == 'whole'
        (key,) = site.rows.rows
        site.rows.rows[key] = dataclasses.replace(
            site.rows.rows[key], content=content
        )
        told = await collect(site.b, make_booking_call('r2', key='k'))
        assert told == 'not_run claims_unavailable'
        assert len(site.agents.ran) == 1
        assert 'unreadable claim' in caplog.text

    async def test_lost_answer_is_settled_by_the_own_token(self):
        """A claim whose commit answer was lost is recognized by its token."""
        site = Site()
        site.faults['a'].set(Fault.ANSWER_LOST, times=1)
        assert await collect(site.a, make_booking_call(key='k')) == 'whole'
        assert site.rows.commits == 2
        assert len(site.agents.ran) == 1

    @pytest.mark.parametrize(
        'content', [b'', b'[]', b'{"token":7}', b'{"x":' + b'[' * 100_000]
    )
    async def test_row_that_cannot_be_read(self, content):
        """A call whose row holds no claim is refused, and nothing is sent."""
        site = Site()
        site.rows.commit(
            (
                ConditionalWrite(
                    key=CLAIM_KEY,
                    content=content,
                    expected_version=ABSENT_VERSION,
                ),
            )
        )
        told = await collect(site.a, make_booking_call(key='k'))
        assert told == 'not_run claims_unavailable'
        assert not site.agents.sent
        assert not site.a.calls_in_flight

    async def test_result_is_written_after_an_outage(self):
        """An outage between claim and result does not lose the answer."""
        site = Site()
        answer = await serve_call(site.a, make_booking_call(key='k'))
        assert isinstance(answer, CallAnswer)
        site.faults['a'].set(Fault.DOWN)
        async for _ in answer.body:
            pass
        await asyncio.sleep(30)
        site.faults['a'].set(None)
        await asyncio.sleep(5)
        assert (
            await collect(site.b, make_booking_call('r2', key='k')) == 'whole'
        )
        assert len(site.agents.ran) == 1


class TestEnd:
    """Writers of claims and results while their daemon stops."""

    async def test_planned_stop_writes_every_result(self):
        """A drain writes all results, also if they exceed one batch."""
        site = Site()
        for number in range(RESULT_BATCH + 1):
            call = make_booking_call(f'r{number}', key=f'k{number}')
            assert await collect(site.a, call) == 'whole'
        await drain_entry(site.a)
        states = Counter(
            decode_claim(row).state for row in site.rows.rows.values()
        )
        assert states == {ClaimState.COMPLETED: RESULT_BATCH + 1}

    async def test_drain_waits_for_no_table_that_hangs(self):
        """A table that does not answer delays a stop for a bounded time."""
        site = Site()
        assert await collect(site.a, make_booking_call(key='k')) == 'whole'
        site.faults['a'].set(Fault.SLOW, seconds=3600)
        await asyncio.wait_for(drain_entry(site.a), timeout=FLUSH_SECONDS + 1)

    async def test_nothing_runs_on_after_a_stop(self):
        """A stopped daemon leaves no task running and starts none."""
        site = Site()
        site.faults['a'].set(Fault.SLOW, seconds=3600)
        first = asyncio.create_task(collect(site.a, make_booking_call(key='k')))
        await asyncio.sleep(1)
        site.a.results.put(
            ConditionalWrite(key='x', content=b'', expected_version=0)
        )
        await stop_entry(site.a)
        assert await first == 'not_run claims_unavailable'
        site.a.results.put(
            ConditionalWrite(key='y', content=b'', expected_version=0)
        )
        assert asyncio.all_tasks() == {asyncio.current_task()}

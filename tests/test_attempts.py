"""Tests of :mod:`ragwortcourse.agent.attempts`."""

import asyncio

import pytest

from fakes.agents import make_agent, make_attempt, make_service_attempt
from fakes.memory_engine import MemoryEngine
from ragwortcourse.agent.attempts import bar_attempt, run_attempt
from ragwortcourse.messages.attempt import AttemptAnswer, AttemptRefused

pytestmark = pytest.mark.looptime


async def read_body(answer: AttemptAnswer) -> bytes:
    """The whole body of an answer."""
    return b''.join([chunk async for chunk in answer.body])


class TestRunAttempt:
    """One attempt at the target."""

    async def test_whole_stream_is_relayed(self):
        """A stream arrives whole, with the version that made it."""
        agent = make_agent(MemoryEngine())
        answer = await run_attempt(agent, make_attempt())
        assert answer.version == 'v1'
        assert (await read_body(answer)).endswith(b'data: [DONE]\n\n')
        assert agent.gate.running == 0

    async def test_duplicate_runs_once(self):
        """The same attempt id runs once, also while the first is under way."""
        engine = MemoryEngine(is_model_engine=False)
        agent = make_agent(engine)
        attempt = make_service_attempt()
        first, second = await asyncio.gather(
            run_attempt(agent, attempt), run_attempt(agent, attempt)
        )
        assert isinstance(first, AttemptAnswer)
        assert isinstance(second, AttemptRefused)
        assert second.outcome.code == 'duplicate_attempt'
        assert engine.runs.total() == 1


class TestBarAttempt:
    """A report that settles a lost connection."""

    async def test_bar_wins_over_late_arrival(self):
        """An attempt that was barred never runs, however late it comes."""
        engine = MemoryEngine()
        agent = make_agent(engine)
        await asyncio.sleep(60)
        attempt = make_attempt()
        report = await bar_attempt(agent, attempt.attempt, 1)
        assert report.proves_not_run
        refused = await run_attempt(agent, attempt)
        assert refused.outcome.code == 'barred'
        assert engine.runs.total() == 0

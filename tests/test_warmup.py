"""Tests of :mod:`ragwortcourse.agent.warmup`."""

import asyncio
import dataclasses
import random

import pytest

from fakes.agents import make_agent, make_attempt
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine
from ragwortcourse.agent.attempts import run_attempt
from ragwortcourse.agent.lifecycle import (
    DESCRIBE_PERIOD_SECONDS,
    run_target_monitors,
)
from ragwortcourse.agent.warmup import SlowStartLimit
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.engines.engine import EngineSilent, EngineState
from ragwortcourse.messages.attempt import AttemptAnswer

pytestmark = pytest.mark.looptime
LIMITS = TargetLimits(cold=2, warm=8, warm_seconds=20)


def make_state(bearable: int | None, **changes: object) -> EngineState:
    """A report of the first instance."""
    usual = {'instance': 'first', 'running': 0, 'age': 0}
    return EngineState(**{**usual, 'bearable': bearable, **changes})


def note_whole(
    limit: SlowStartLimit, latency: float, *, running: int | None = None
) -> None:
    """A clean answer, from its beginning to its end."""
    limit.note_latency(latency)
    limit.note_answer(limit.read() if running is None else running)


async def make_warm(bearable: int | None) -> SlowStartLimit:
    """A limit that has seen enough to be warm."""
    limit = SlowStartLimit(read_limits=lambda: LIMITS)
    limit.note_state(make_state(bearable))
    for _ in range(60):
        await asyncio.sleep(0.5)
        limit.note_state(make_state(bearable))
        note_whole(limit, 0.01)
    assert limit.read() == LIMITS.warm
    return limit


class TestWarmLimit:
    """Permits by evidence."""

    async def test_cold_at_first(self):
        """A target without evidence gets its cold limit, whatever it says."""
        limit = SlowStartLimit(read_limits=lambda: LIMITS)
        limit.note_state(make_state(8))
        assert limit.read() == LIMITS.cold

    async def test_report_goes_before_the_cold_limit(self):
        """A target that bears less than its cold limit gets less."""
        limit = SlowStartLimit(read_limits=lambda: LIMITS)
        limit.note_state(make_state(1))
        assert limit.read() == 1

    @pytest.mark.parametrize(
        'note',
        [
            lambda limit: limit.note_state(make_state(8, instance='second')),
            lambda limit: limit.note_state(make_state(2)),
            lambda limit: limit.reset_to_cold('lost'),
        ],
        ids=['new instance', 'bears less', 'lost'],
    )
    async def test_sign_of_cold_counts_at_once(self, note):
        """A warm target that shows itself cold gets its cold limit at once."""
        limit = await make_warm(8)
        note(limit)
        assert limit.read() == LIMITS.cold

    @pytest.mark.parametrize(
        ('bearable', 'report'),
        [
            (8, EngineSilent(detail='')),
            (None, EngineSilent(detail='')),
            (8, make_state(8, age=10)),
            (8, make_state(None)),
        ],
    )
    async def test_reports_that_stop(self, bearable, report):
        """A target whose reports stop or grow old is soon held for cold."""
        limit = await make_warm(bearable)
        for _ in range(8):
            await asyncio.sleep(0.5)
            limit.note_state(report)
        assert limit.read() == LIMITS.cold

    async def test_silence_may_be_a_restart(self):
        """After a silence answers warm nothing until the target is seen."""
        limit = await make_warm(8)
        limit.note_state(EngineSilent(detail=''))
        for _ in range(20):
            note_whole(limit, 0.01)
        assert limit.read() == LIMITS.cold
        limit.note_state(make_state(8))
        note_whole(limit, 0.01)
        assert limit.read() > LIMITS.cold

    async def test_slow_answers_halve(self):
        """A target without reports that turns slow gets less."""
        limit = await make_warm(None)
        for _ in range(3):
            note_whole(limit, 1)
        assert limit.read() < LIMITS.warm

    async def test_unused_limit_does_not_grow(self):
        """Answers given to little load prove nothing about more."""
        limit = SlowStartLimit(read_limits=lambda: LIMITS)
        for _ in range(60):
            note_whole(limit, 0.01, running=1)
        assert limit.read() == LIMITS.cold


class TestWarmingTarget:
    """A target whose work is more than it bears."""

    @pytest.mark.parametrize('reports', [True, False])
    async def test_fresh_target_is_never_pushed_past_what_it_bears(
        self, reports
    ):
        """Under full load a fresh target gets what it bears, and warms."""
        load = EngineLoad(
            warm_after=20, reports=reports, latency=0.2, pace=0.02, dies_over=1
        )
        engine = MemoryEngine(load=load)
        agent = make_agent(engine, limits=LIMITS)
        watching = asyncio.create_task(run_target_monitors(agent))
        sending = [
            asyncio.create_task(send_forever(agent, random.Random(seed)))
            for seed in range(30)
        ]
        await asyncio.sleep(40)
        assert load.peak <= 1
        assert engine.deaths == 0
        assert load.running == LIMITS.warm
        for task in (watching, *sending):
            task.cancel()


class TestTurnedCold:
    """A warm target that turns cold while its connections stay."""

    @pytest.mark.parametrize('reports', [True, False])
    @pytest.mark.parametrize('anew', [True, False])
    async def test_answers_tell_with_no_poll_between(self, reports, anew):
        """Answers tell within a round, before a report can."""
        load = EngineLoad(cold=4, warm_after=20, reports=reports)
        engine = MemoryEngine(load=load)
        agent = make_agent(engine, limits=LIMITS)
        watching = asyncio.create_task(run_target_monitors(agent))
        sending = [
            asyncio.create_task(send_forever(agent, random.Random(seed)))
            for seed in range(120)
        ]
        await asyncio.sleep(60)
        assert agent.limit.read() == LIMITS.warm
        watching.cancel()
        engine.turn_cold(anew=anew)
        begun = []

        async def start(request):
            begun.append(agent.limit.read())
            return await engine.start(request)

        agent.engine = dataclasses.replace(agent.engine, start=start)
        await asyncio.sleep(DESCRIBE_PERIOD_SECONDS + load.report_lag)
        too_many = [limit for limit in begun if limit > LIMITS.warm / 2]
        assert len(too_many) <= LIMITS.warm
        for task in sending:
            task.cancel()

    async def test_late_answer_of_the_old_instance(self):
        """An answer asked of an earlier instance makes nothing cold."""
        engine = MemoryEngine(load=EngineLoad(latency=1))
        agent = make_agent(engine, limits=LIMITS)
        agent.limit.note_state(await engine.describe())
        asked = asyncio.create_task(run_attempt(agent, make_attempt()))
        await asyncio.sleep(0.5)
        agent.limit.note_instance('newer')
        assert isinstance(await asked, AttemptAnswer)
        assert agent.limit.instance == 'newer'


async def send_forever(agent, rng: random.Random) -> None:
    """Send one request after the other."""
    while True:
        outcome = await run_attempt(agent, make_attempt(time_left=5))
        if isinstance(outcome, AttemptAnswer):
            async for _chunk in outcome.body:
                pass
        await asyncio.sleep(rng.expovariate(1))

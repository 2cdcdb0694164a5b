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
    """Make a load report of the first engine instance."""
    usual = {'instance': 'first', 'running': 0, 'age': 0}
    return EngineState(**{**usual, 'bearable': bearable, **changes})


def note_whole(
    limit: SlowStartLimit, latency: float, *, running: int | None = None
) -> None:
    """Record the start and the end of a clean answer."""
    limit.note_latency(latency)
    limit.note_answer(limit.read() if running is None else running)


async def make_warm(bearable: int | None) -> SlowStartLimit:
    """Make a limit that 30 s of clean answers have raised to warm."""
    limit = SlowStartLimit(read_limits=lambda: LIMITS)
    limit.note_state(make_state(bearable))
    for _ in range(60):
        await asyncio.sleep(0.5)
        limit.note_state(make_state(bearable))
        note_whole(limit, 0.01)
    assert limit.read() == LIMITS.warm
    return limit


class TestWarmLimit:
    """Growth and resets of the slow-start limit."""

    async def test_cold_at_first(self):
        """A target without answers gets the cold limit despite its report."""
        limit = SlowStartLimit(read_limits=lambda: LIMITS)
        limit.note_state(make_state(8))
        assert limit.read() == LIMITS.cold

    async def test_report_goes_before_the_cold_limit(self):
        """A reported capacity below the cold limit lowers the limit."""
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
        """Any sign of a cold target resets a warm limit at once."""
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
        """A limit is reset within 4 s once reports stop or become stale."""
        limit = await make_warm(bearable)
        for _ in range(8):
            await asyncio.sleep(0.5)
            limit.note_state(report)
        assert limit.read() == LIMITS.cold

    async def test_silence_may_be_a_restart(self):
        """After a silent poll, answers raise the limit only after a report.

        A silent engine may be restarting, and starts cold.
        """
        limit = await make_warm(8)
        limit.note_state(EngineSilent(detail=''))
        for _ in range(20):
            note_whole(limit, 0.01)
        assert limit.read() == LIMITS.cold
        limit.note_state(make_state(8))
        note_whole(limit, 0.01)
        assert limit.read() > LIMITS.cold

    async def test_short_silence_of_one_instance_takes_its_permits(self):
        """A short silence costs no permits if the same instance reports.

        While it lasts, the cold limit is in force.
        """
        limit = await make_warm(8)
        for _ in range(2):
            limit.note_state(EngineSilent(detail=''))
            assert limit.read() == LIMITS.cold
            await asyncio.sleep(0.5)
        limit.note_state(make_state(8))
        assert limit.read() == LIMITS.warm

    @pytest.mark.parametrize(
        ('report', 'seconds'),
        [
            (make_state(8, instance='second'), 1),
            (make_state(None), 1),
            (make_state(3), 1),
            (make_state(8), 3),
        ],
        ids=['restarted', 'no load', 'bears less', 'long'],
    )
    async def test_silence_that_may_have_cooled_the_target(
        self, report, seconds
    ):
        """Permits are kept only for what the same instance says it bears."""
        limit = await make_warm(8)
        limit.note_state(EngineSilent(detail=''))
        await asyncio.sleep(seconds)
        limit.read()
        limit.note_state(report)
        assert limit.read() < LIMITS.warm

    async def test_slow_answers_halve(self):
        """Three slow answers lower the limit of a target without reports."""
        limit = await make_warm(None)
        for _ in range(3):
            note_whole(limit, 1)
        assert limit.read() < LIMITS.warm

    async def test_unused_limit_does_not_grow(self):
        """Answers at low load do not raise the limit."""
        limit = SlowStartLimit(read_limits=lambda: LIMITS)
        for _ in range(60):
            note_whole(limit, 0.01, running=1)
        assert limit.read() == LIMITS.cold


class TestWarmingTarget:
    """A target under more load than its capacity."""

    @pytest.mark.parametrize('reports', [True, False])
    async def test_fresh_target_is_never_pushed_past_what_it_bears(
        self, reports
    ):
        """A cold target under full load is never overloaded and warms up.

        The engine dies when its load exceeds its capacity, which grows over
        20 s.
        """
        load = EngineLoad(
            warm_after=20,
            reports=reports,
            latency=0.2,
            pace=0.02,
            crash_load_ratio=1,
        )
        engine = MemoryEngine(load=load)
        agent = make_agent(engine, limits=LIMITS)
        monitoring = asyncio.create_task(run_target_monitors(agent))
        sending = [
            asyncio.create_task(send_forever(agent, random.Random(seed)))
            for seed in range(30)
        ]
        await asyncio.sleep(40)
        assert load.peak <= 1
        assert engine.crashes == 0
        assert load.running == LIMITS.warm
        for task in (monitoring, *sending):
            task.cancel()


class TestTurnedCold:
    """A warm target that turns cold without closing its connections."""

    @pytest.mark.parametrize('reports', [True, False])
    @pytest.mark.parametrize('anew', [True, False])
    async def test_answers_tell_with_no_poll_between(self, reports, anew):
        """Answers lower the limit within a round, before a report arrives."""
        load = EngineLoad(cold=4, warm_after=20, reports=reports)
        engine = MemoryEngine(load=load)
        agent = make_agent(engine, limits=LIMITS)
        monitoring = asyncio.create_task(run_target_monitors(agent))
        sending = [
            asyncio.create_task(send_forever(agent, random.Random(seed)))
            for seed in range(120)
        ]
        await asyncio.sleep(60)
        assert agent.limit.read() == LIMITS.warm
        monitoring.cancel()
        engine.reset_to_cold(anew=anew)
        limits_at_start = []

        async def start(request):
            limits_at_start.append(agent.limit.read())
            return await engine.start(request)

        agent.engine = dataclasses.replace(agent.engine, start=start)
        await asyncio.sleep(DESCRIBE_PERIOD_SECONDS + load.report_lag)
        too_many = [
            limit for limit in limits_at_start if limit > LIMITS.warm / 2
        ]
        assert len(too_many) <= LIMITS.warm
        for task in sending:
            task.cancel()

    async def test_late_answer_of_the_old_instance(self):
        """A late answer from an earlier instance resets nothing."""
        engine = MemoryEngine(load=EngineLoad(latency=1))
        agent = make_agent(engine, limits=LIMITS)
        agent.limit.note_state(await engine.describe())
        asked = asyncio.create_task(run_attempt(agent, make_attempt()))
        await asyncio.sleep(0.5)
        agent.limit.note_instance('newer')
        assert isinstance(await asked, AttemptAnswer)
        assert agent.limit.instance == 'newer'


async def send_forever(agent, rng: random.Random) -> None:
    """Send requests one after another, with pauses of 1 s on average."""
    while True:
        outcome = await run_attempt(agent, make_attempt(time_left=5))
        if isinstance(outcome, AttemptAnswer):
            async for _chunk in outcome.body:
                pass
        await asyncio.sleep(rng.expovariate(1))

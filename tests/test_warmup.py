"""Tests of :mod:`ragwortcourse.agent.warmup`."""

import asyncio

import pytest

from ragwortcourse.agent.warmup import WarmLimit
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.engines.engine import EngineSilent, EngineState

pytestmark = pytest.mark.looptime
LIMITS = TargetLimits(cold=2, warm=8)


def make_state(bearable: int | None, **changes: object) -> EngineState:
    """A report of the first instance."""
    usual = {'instance': 'first', 'running': 0, 'age': 0}
    return EngineState(**{**usual, 'bearable': bearable, **changes})


async def make_warm(bearable: int | None) -> WarmLimit:
    """A limit that has seen enough to be warm."""
    limit = WarmLimit(read_limits=lambda: LIMITS)
    limit.note_state(make_state(bearable))
    for _ in range(60):
        await asyncio.sleep(0.01)
        limit.note_answer(0.01, limit.read())
    assert limit.read() == LIMITS.warm
    return limit


class TestWarmLimit:
    """Permits by evidence."""

    async def test_cold_at_first(self):
        """A target without evidence gets its cold limit, whatever it says."""
        limit = WarmLimit(read_limits=lambda: LIMITS)
        limit.note_state(make_state(8))
        assert limit.read() == LIMITS.cold

    async def test_report_goes_before_the_cold_limit(self):
        """A target that bears less than its cold limit gets less."""
        limit = WarmLimit(read_limits=lambda: LIMITS)
        limit.note_state(make_state(1))
        assert limit.read() == 1

    @pytest.mark.parametrize(
        'note',
        [
            lambda limit: limit.note_state(make_state(8, instance='second')),
            lambda limit: limit.note_state(make_state(2)),
            lambda limit: limit.fall_back('lost'),
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

    async def test_slow_answers_halve(self):
        """A target without reports that turns slow gets less."""
        limit = await make_warm(None)
        for _ in range(3):
            limit.note_answer(1, limit.read())
        assert limit.read() < LIMITS.warm

    async def test_unused_limit_does_not_grow(self):
        """Answers given to little load prove nothing about more."""
        limit = WarmLimit(read_limits=lambda: LIMITS)
        for _ in range(60):
            limit.note_answer(0.01, 1)
        assert limit.read() == LIMITS.cold

"""Tests of :mod:`ragwortcourse.weights.planning.origin_turns`."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.planning.origin_turns import OriginTurns

pytestmark = pytest.mark.looptime


class TestOriginTurns:
    """Calls of one daemon to the origin."""

    async def test_order(self):
        """After an outage the chunks that all loaders wait for come first."""
        turns = OriginTurns(limit=1)
        called = []

        async def call(version, index):
            async with turns.take(ModelVersion(MODEL, version), index):
                called.append((version, index))
                await asyncio.sleep(1)

        asked = [(2, 5), (2, 1), (3, 7), (3, 2)]
        await asyncio.gather(*(call(*each) for each in asked))
        assert called == [(2, 5), (3, 2), (3, 7), (2, 1)]

    async def test_callers_that_leave(self):
        """A caller that is cancelled leaves its turn to others."""
        turns = OriginTurns(limit=1)

        async def call():
            async with turns.take(ModelVersion(MODEL, 2), 0):
                await asyncio.sleep(1)

        for _ in range(3):
            calls = [asyncio.ensure_future(call()) for _ in range(4)]
            await asyncio.sleep(1.5)
            for each in calls:
                each.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        async with asyncio.timeout(0.1):
            async with turns.take(ModelVersion(MODEL, 2), 1):
                pass

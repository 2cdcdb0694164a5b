"""Tests of :mod:`ragwortcourse.weights.planning.chunk_patience`."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.planning.chunk_patience import (
    PAUSE_SECONDS,
    STANDSTILL_FACTOR,
    ChunkPatience,
)

pytestmark = pytest.mark.looptime
PATIENCE_SECONDS = 7.0
VERSION = ModelVersion(MODEL, 2)


async def receive(patience: ChunkPatience, seconds: int) -> None:
    """Let a chunk of version 2 arrive every second."""
    for index in range(seconds):
        patience.note_arrived(VERSION, index)
        await asyncio.sleep(1)


class TestChunkPatience:
    """Waits for a chunk that another daemon is to download."""

    async def test_origin_away(self):
        """An outage ends no wait; all daemons would ask the origin after it."""
        patience = ChunkPatience()
        assert not patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        await receive(patience, 1)
        await asyncio.sleep(2 * PATIENCE_SECONDS)
        assert not patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        await receive(patience, 2)
        assert not patience.is_over(VERSION, 90, PATIENCE_SECONDS)

    async def test_one_chunk_is_missing(self):
        """A chunk whose root can't download it is asked for elsewhere."""
        patience = ChunkPatience()
        assert not patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        await receive(patience, int(PATIENCE_SECONDS) + 2)
        assert patience.is_over(VERSION, 90, PATIENCE_SECONDS)

    async def test_no_root_reaches_the_origin(self):
        """A standstill that lasts for long is not waited out."""
        patience = ChunkPatience()
        patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        await asyncio.sleep(PATIENCE_SECONDS * STANDSTILL_FACTOR + 1)
        assert patience.is_over(VERSION, 90, PATIENCE_SECONDS)

    async def test_arrived(self):
        """A chunk that arrives and is asked for again is waited for anew."""
        patience = ChunkPatience()
        patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        await receive(patience, int(PATIENCE_SECONDS) + 2)
        patience.note_arrived(VERSION, 90)
        assert not patience.is_over(VERSION, 90, PATIENCE_SECONDS)
        assert PAUSE_SECONDS < PATIENCE_SECONDS

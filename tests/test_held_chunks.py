"""Tests of :mod:`ragwortcourse.weights.held_chunks`."""

import asyncio

import pytest

from ragwortcourse.weights.chunk_memory import ChunkMemory
from ragwortcourse.weights.held_chunks import HeldChunks

pytestmark = pytest.mark.looptime


class TestMemoryOfSending:
    """Chunks that are being sent."""

    async def test_is_counted_until_the_last_byte_is_out(self):
        """The memory of a chunk is not reused while the chunk is sent."""
        memory = ChunkMemory(limit=100)
        held = HeldChunks(memory=memory)
        await memory.reserve(100)
        held.put(0, bytes(100), ())
        held.mark_consumed(0)
        with held.pin(0), held.pin(0):
            waiting = asyncio.create_task(memory.reserve(100))
            await asyncio.sleep(10)
            assert not waiting.done()
        await waiting
        assert memory.used == memory.highest == 100
        assert held.was_evicted(0)

    async def test_of_a_chunk_that_is_gone_holds_up_nothing(self):
        """Pinning a chunk that is not held, as the manifest, has no effect."""
        memory = ChunkMemory(limit=100)
        with HeldChunks(memory=memory).pin(7):
            await memory.reserve(100)

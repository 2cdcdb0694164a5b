"""Tests of :mod:`ragwortcourse.weights.planning.chunk_queue`."""

from ragwortcourse.weights.planning.chunk_queue import ChunkQueue

CHUNKS = 96


class TestChunkQueue:
    """Order of a loader's questions."""

    def test_first_chunks_again(self):
        """A chunk that is not there yet is asked for again before the last.

        Loaders asked for the last chunks while the first ones arrived, after
        an outage of the origin, and their links were idle.
        """
        queue = ChunkQueue(range(CHUNKS))
        for _ in range(10):
            queue.put_back(queue.take())
        assert min(queue.take() for _ in range(4)) < 4

    def test_chunk_that_nobody_has(self):
        """One missing chunk does not take a growing share of the questions."""
        queue = ChunkQueue(range(CHUNKS))
        asked = 0
        for _ in range(CHUNKS):
            index = queue.take()
            if index == 0:
                asked += 1
                queue.put_back(index)
        assert asked < 8

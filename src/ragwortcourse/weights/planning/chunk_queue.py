"""Order in which a loader asks for the missing chunks of a version.

Load pattern: a version arrives at the entry daemons in the order of its
chunks, sometimes after an outage, and a question for a chunk that is not
there yet is held for a second. The first chunks are asked for again before
later ones. A chunk that fails repeatedly lets more and more others go first.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

# Chunks that go before one that has failed once; doubled by each failure.
FIRST_DELAY_CHUNKS: Final = 2


class ChunkQueue:
    """Indices of missing chunks, the next one to ask for first."""

    def __init__(self, indices: Iterable[int]) -> None:
        self._queue = sorted(indices)
        self._failures: Counter[int] = Counter()

    def __bool__(self) -> bool:
        """Tell whether a chunk is to be asked for."""
        return bool(self._queue)

    def take(self) -> int:
        """Remove and return the next chunk."""
        return self._queue.pop(0)

    def put_back(self, index: int) -> None:
        """Add a chunk that no source returned."""
        delay = FIRST_DELAY_CHUNKS << min(self._failures[index], 8)
        self._failures[index] += 1
        self._queue.insert(min(delay, len(self._queue)), index)

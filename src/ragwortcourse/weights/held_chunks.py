"""Chunks of one transfer in memory, with the receivers that need them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Collection, Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.chunk_memory import ChunkMemory

# Time for which a consumed chunk is kept for receivers that do not fetch it.
HOLD_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldChunk:
    """A verified chunk in memory.

    :param waiting_for: receivers that have not fetched the chunk yet.
    :param consumed: the engine holds the chunk, and the digest of the whole
        includes it.
    :param consumed_at: monotonic seconds.
    :param pins: transmissions that read the bytes now.
    """

    content: bytes
    waiting_for: set[DaemonId]
    consumed: bool = False
    consumed_at: float = 0
    pins: int = 0


class HeldChunks:
    """Chunks kept until no receiver needs them or the hold time is over."""

    def __init__(self, *, memory: ChunkMemory) -> None:
        self._memory = memory
        self._chunks: dict[int, HeldChunk] = {}
        self._evicted: set[int] = set()
        self._slow: set[DaemonId] = set()
        self._arrivals: dict[int, asyncio.Event] = {}
        memory.add_evictor(self.evict)

    def put(
        self, index: int, content: bytes, receivers: Collection[DaemonId]
    ) -> None:
        """Keep a verified chunk for which memory is reserved already."""
        if index in self._chunks:
            self._memory.free(len(content))
            return
        self._chunks[index] = HeldChunk(
            content=content, waiting_for=set(receivers) - self._slow
        )
        self._evicted.discard(index)
        arrival = self._arrivals.pop(index, None)
        if arrival is not None:
            arrival.set()

    def mark_consumed(self, index: int) -> None:
        """Note that only receivers still need the chunk."""
        held = self._chunks.get(index)
        if held is not None:
            held.consumed = True
            held.consumed_at = read_clock()
            self._memory.wake_waiters()

    def clear_consumed(self) -> None:
        """Note that the engine needs every chunk again."""
        for held in self._chunks.values():
            held.consumed = False

    def find(self, index: int) -> bytes | None:
        """Return the bytes of a chunk, or ``None`` if it is not in memory."""
        held = self._chunks.get(index)
        return held.content if held else None

    def was_evicted(self, index: int) -> bool:
        """Tell whether the chunk was in memory and has been evicted."""
        return index in self._evicted

    async def wait(self, index: int, seconds: float) -> bytes | None:
        """Return the bytes of a chunk if they arrive in time.

        :param seconds: time-out; a chunk that was evicted is not waited for.
        """
        content = self.find(index)
        if content is not None or self.was_evicted(index):
            return content
        arrival = self._arrivals.setdefault(index, asyncio.Event())
        try:
            async with asyncio.timeout(seconds):
                await arrival.wait()
        except TimeoutError:
            return None
        return self.find(index)

    def note_sent(self, index: int, receiver: DaemonId) -> None:
        """Note that a receiver has fetched a chunk."""
        self._slow.discard(receiver)
        held = self._chunks.get(index)
        if held is not None:
            held.waiting_for.discard(receiver)
            self._memory.wake_waiters()

    @contextlib.contextmanager
    def pin(self, index: int) -> Iterator[None]:
        """Keep a chunk in memory and in the budget while it is being sent."""
        held = self._chunks.get(index)
        if held is None:
            yield
            return
        held.pins += 1
        try:
            yield
        finally:
            held.pins -= 1
            self._memory.wake_waiters()

    def evict(self) -> bool:
        """Evict the oldest chunk that is not needed; tell whether one was."""
        now = read_clock()
        for index, held in self._chunks.items():
            expired = now - held.consumed_at >= HOLD_SECONDS
            evictable = held.consumed and not held.pins
            if evictable and (expired or not held.waiting_for):
                # Later chunks are not held for a receiver that is too slow.
                self._slow.update(held.waiting_for)
                self._drop(index)
                return True
        return False

    def clear(self) -> None:
        """Evict all chunks and stop taking part in eviction."""
        for index in tuple(self._chunks):
            self._drop(index)
        self._memory.remove_evictor(self.evict)

    def _drop(self, index: int) -> None:
        held = self._chunks.pop(index)
        self._evicted.add(index)
        self._memory.free(len(held.content))

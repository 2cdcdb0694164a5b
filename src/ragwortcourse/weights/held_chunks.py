"""Chunks of one transfer that are in memory, and who still needs them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Collection, Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.weights.chunk_memory import ChunkMemory

# A chunk that its receivers do not fetch is kept for so long.
HOLD_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldChunk:
    """A verified chunk in memory.

    :param waiting_for: receivers that have not fetched it yet.
    :param settled: true once the engine holds it and the digest of the
        whole has taken it in.
    :param settled_at: monotonic seconds.
    :param pins: sendings that read the bytes now.
    """

    content: bytes
    waiting_for: set[DaemonId]
    settled: bool = False
    settled_at: float = 0
    pins: int = 0


class HeldChunks:
    """Keeps chunks until nobody needs them or their time is up."""

    def __init__(self, *, memory: ChunkMemory) -> None:
        self._memory = memory
        self._chunks: dict[int, HeldChunk] = {}
        self._gone: set[int] = set()
        self._slow: set[DaemonId] = set()
        self._arrivals: dict[int, asyncio.Event] = {}
        memory.add_evictor(self.evict)

    def put(
        self, index: int, content: bytes, receivers: Collection[DaemonId]
    ) -> None:
        """Keep a verified chunk, whose memory is reserved already."""
        if index in self._chunks:
            self._memory.free(len(content))
            return
        self._chunks[index] = HeldChunk(
            content=content, waiting_for=set(receivers) - self._slow
        )
        self._gone.discard(index)
        arrival = self._arrivals.pop(index, None)
        if arrival is not None:
            arrival.set()

    def mark_consumed(self, index: int) -> None:
        """Note that nothing here needs the chunk any more but receivers."""
        held = self._chunks.get(index)
        if held is not None:
            held.settled = True
            held.settled_at = read_clock()
            self._memory.look_again()

    def clear_consumed(self) -> None:
        """Note that the engine needs every chunk again."""
        for held in self._chunks.values():
            held.settled = False

    def find(self, index: int) -> bytes | None:
        """Bytes of a chunk, if it is here."""
        held = self._chunks.get(index)
        return held.content if held else None

    def was_evicted(self, index: int) -> bool:
        """Tell whether the chunk was here and is not any more."""
        return index in self._gone

    async def wait(self, index: int, seconds: float) -> bytes | None:
        """Bytes of a chunk, if they arrive within some seconds."""
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
            self._memory.look_again()

    @contextlib.contextmanager
    def pin(self, index: int) -> Iterator[None]:
        """Keep a chunk in memory, and counted, while its bytes go out."""
        held = self._chunks.get(index)
        if held is None:
            yield
            return
        held.pins += 1
        try:
            yield
        finally:
            held.pins -= 1
            self._memory.look_again()

    def evict(self) -> bool:
        """Let the oldest chunk go that nobody needs, if there is one."""
        now = read_clock()
        for index, held in self._chunks.items():
            overdue = now - held.settled_at >= HOLD_SECONDS
            free = held.settled and not held.pins
            if free and (overdue or not held.waiting_for):
                # Later chunks do not wait for a receiver that is behind.
                self._slow.update(held.waiting_for)
                self._drop(index)
                return True
        return False

    def clear(self) -> None:
        """Let everything go, for good."""
        for index in tuple(self._chunks):
            self._drop(index)
        self._memory.remove_evictor(self.evict)

    def _drop(self, index: int) -> None:
        held = self._chunks.pop(index)
        self._gone.add(index)
        self._memory.free(len(held.content))

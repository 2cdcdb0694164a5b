"""Chunks whose writes got no answer, and which an engine may still stage."""

import dataclasses
from collections.abc import Callable

from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.unanswered_order import LATE_CALL_SECONDS


@dataclasses.dataclass(slots=True, kw_only=True)
class UnansweredWrite:
    """Write that the engine may still do.

    :param sent_at: seconds on the clock that counts suspension.
    :param replaced: whether another chunk was staged in its place since.
    """

    chunks: VersionChunks
    index: int
    sent_at: float
    replaced: bool = False


class UnansweredWrites:
    """Writes of chunks that one engine may still do."""

    def __init__(self) -> None:
        self._writes: list[UnansweredWrite] = []

    def add(
        self, chunks: VersionChunks, index: int, now: float
    ) -> UnansweredWrite:
        """Note a write that is sent now."""
        write = UnansweredWrite(chunks=chunks, index=index, sent_at=now)
        self._writes.append(write)
        return write

    def note_staged(self, staged: UnansweredWrite) -> None:
        """Note that the engine answered a write."""
        self._keep(lambda write: write is not staged)
        for write in self._find_others(staged.chunks):
            if write.index == staged.index:
                write.replaced = True

    def note_read(self, index: int, staged: bytes | None) -> None:
        """Drop the writes that were done after their chunk was replaced."""
        self._keep(
            lambda write: (
                not (
                    write.index == index
                    and write.replaced
                    and write.chunks.contents[index] == staged
                )
            )
        )

    def drop_old(self, now: float, answers_since: float) -> None:
        """Drop the writes that count as never performed.

        :param answers_since: time from which on the engine has answered.
        """
        if now - answers_since > LATE_CALL_SECONDS:
            self._keep(lambda write: now - write.sent_at <= LATE_CALL_SECONDS)

    def clear(self) -> None:
        """Drop all writes, as the engine has restarted."""
        self._writes.clear()

    def may_replace(self, chunks: VersionChunks) -> bool:
        """Tell whether a chunk of another version may still get staged."""
        return bool(self._find_others(chunks))

    def _find_others(self, chunks: VersionChunks) -> list[UnansweredWrite]:
        version = chunks.manifest.version
        return [
            write
            for write in self._writes
            if write.chunks.manifest.version != version
        ]

    def _keep(self, is_kept: Callable[[UnansweredWrite], bool]) -> None:
        self._writes = [write for write in self._writes if is_kept(write)]

"""Writes of chunks that are in progress, or that got no answer."""

import dataclasses
from collections.abc import Callable

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.unanswered_order import LATE_CALL_SECONDS


@dataclasses.dataclass(slots=True, kw_only=True)
class UnansweredWrite:
    """Write that the engine may still do.

    :param sent_at: seconds on the clock of the engine's answers.
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

    def note_read(
        self, model: ModelName, index: int, staged: bytes | None
    ) -> None:
        """Drop one write that was done after its chunk was replaced."""
        for write in self._writes:
            if (
                write.chunks.manifest.model == model
                and write.index == index
                and write.replaced
                and write.chunks.contents[index] == staged
            ):
                self._writes.remove(write)
                return

    def drop_old(self, answered: float) -> None:
        """Drop the writes that count as never performed.

        :param answered: now, on the clock of the engine's answers.
        """
        self._keep(lambda write: answered - write.sent_at <= LATE_CALL_SECONDS)

    def clear(self) -> None:
        """Drop all writes, as the engine has restarted."""
        self._writes.clear()

    def has_others(self, chunks: VersionChunks) -> bool:
        """Tell whether a write of another version may still be done."""
        return bool(self._find_others(chunks))

    def _find_others(self, chunks: VersionChunks) -> list[UnansweredWrite]:
        """List the writes of other versions to the model's staging area."""
        own = chunks.manifest
        return [
            write
            for write in self._writes
            if write.chunks.manifest.model == own.model
            and write.chunks.manifest.version != own.version
        ]

    def _keep(self, is_kept: Callable[[UnansweredWrite], bool]) -> None:
        self._writes = [write for write in self._writes if is_kept(write)]

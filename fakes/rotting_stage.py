"""Stage of an engine whose chunks may rot and are judged at each load."""

import dataclasses
from collections.abc import Iterator

from fakes.load_cause import LoadCause
from fakes.staged_chunk import StagedChunk
from ragwortcourse.clock import read_clock
from ragwortcourse.weights.fleet_manifest import FleetManifest

# A chunk that rotted later than this before a load is no fault of the loader.
EXCUSED_SECONDS = 3.0


class RottingStage:
    """Chunks by index, of whatever version was written last."""

    def __init__(self) -> None:
        self._chunks: dict[int, StagedChunk] = {}

    @property
    def indexes(self) -> frozenset[int]:
        """Return the indexes of the staged chunks."""
        return frozenset(self._chunks)

    def read(self, index: int) -> bytes | None:
        """Return the content of a chunk; None if there is none."""
        chunk = self._chunks.get(index)
        return None if chunk is None else chunk.content

    def write(
        self, index: int, content: bytes, *, is_late: bool = False
    ) -> None:
        """Replace a chunk."""
        self._chunks[index] = StagedChunk(
            written=content, written_at=read_clock(), is_late=is_late
        )

    def rot(self, index: int) -> None:
        """Corrupt a chunk if there is one and it is as written."""
        chunk = self._chunks.get(index)
        if chunk is not None and chunk.rotted_at is None:
            self._chunks[index] = dataclasses.replace(
                chunk, rotted_at=read_clock()
            )

    def clear(self) -> None:
        """Lose all chunks."""
        self._chunks.clear()

    def judge(
        self, manifest: FleetManifest, sent_at: float
    ) -> Iterator[tuple[int, LoadCause]]:
        """Yield what is wrong for a version, without excuse, and why.

        :param sent_at: when the order that is accepted now was sent.
        """
        for index in range(len(manifest.digests)):
            cause = self._find_cause(manifest, index, sent_at)
            if cause is not None:
                yield index, cause

    def _find_cause(
        self, manifest: FleetManifest, index: int, sent_at: float
    ) -> LoadCause | None:
        chunk = self._chunks.get(index)
        if chunk is None:
            return LoadCause.MISSING
        if not manifest.matches(index, chunk.written):
            if chunk.is_late:
                return LoadCause.LATE_WRITE
            if chunk.written_at >= sent_at:
                return LoadCause.LATE_ORDER
            return LoadCause.ORDERED_WRONG
        if (
            chunk.rotted_at is None
            or read_clock() - chunk.rotted_at < EXCUSED_SECONDS
        ):
            return None
        if chunk.rotted_at < sent_at:
            return LoadCause.OLD_CHECK
        return LoadCause.ROT_UNDER_WAY

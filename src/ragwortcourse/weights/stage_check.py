"""Make the staged chunks of an engine match the version to load."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EnginePort

CONCURRENT_CHECKS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StageCheck:
    """Result of a comparison of all staged chunks with a version.

    :param began_at: seconds on the clock that counts suspension.
    :param restaged: number of chunks that were missing or differed.
    :param failed: number of these that could not be staged.
    """

    began_at: float
    restaged: int
    failed: int

    @property
    def age(self) -> float:
        """Seconds since the comparison began."""
        return read_clock_with_suspend() - self.began_at


async def compare_staged(
    engine: EnginePort,
    chunks: VersionChunks,
    *,
    write: Callable[[VersionChunks, int], Awaitable[bool]],
    note_read: Callable[[ModelName, int, bytes | None], None],
) -> StageCheck:
    """Compare all staged chunks with a version; stage those that differ.

    :param write: stages a chunk; tells whether it succeeded.
    :param note_read: takes each staged chunk.
    """
    began_at = read_clock_with_suspend()
    model = chunks.manifest.model
    queue = list(chunks.contents)
    written: list[bool] = []

    async def compare_some() -> None:
        # An engine that does not answer costs one time limit, not one a chunk.
        while queue and False not in written:
            index = queue.pop(0)
            staged = await engine.read_staged(model, index)
            note_read(model, index, staged)
            if staged != chunks.contents[index]:
                written.append(await write(chunks, index))

    await asyncio.gather(*(compare_some() for _ in range(CONCURRENT_CHECKS)))
    return StageCheck(
        began_at=began_at,
        restaged=len(written),
        failed=written.count(False),
    )


async def adopt_staged(engine: EnginePort, chunks: VersionChunks) -> int:
    """Adopt staged chunks of a version; return how many are held then."""
    model = chunks.manifest.model
    for index in sorted(await engine.list_staged(model) or ()):
        if index in chunks.missing:
            chunks.take(index, await engine.read_staged(model, index))
    return len(chunks.contents)

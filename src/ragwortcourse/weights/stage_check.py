"""Make the staged chunks of an engine match the version to load."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
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


async def ensure_staged(
    engine: EnginePort, chunks: VersionChunks
) -> StageCheck:
    """Stage missing or differing chunks."""
    began_at = read_clock_with_suspend()
    model = chunks.manifest.model
    queue = list(chunks.contents.items())
    written: list[bool] = []

    async def check_some() -> None:
        while queue:
            index, content = queue.pop()
            if await engine.read_staged(model, index) != content:
                written.append(await engine.write_staged(model, index, content))

    await asyncio.gather(*(check_some() for _ in range(CONCURRENT_CHECKS)))
    return StageCheck(
        began_at=began_at,
        restaged=len(written),
        failed=written.count(False),
    )


async def adopt_staged(engine: EnginePort, chunks: VersionChunks) -> int:
    """Adopt staged chunks of a version; return how many are held then."""
    model = chunks.manifest.model
    for index in sorted(await engine.list_staged(model)):
        if index in chunks.missing:
            chunks.take(index, await engine.read_staged(model, index))
    return len(chunks.contents)

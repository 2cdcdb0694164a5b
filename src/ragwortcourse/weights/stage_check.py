"""Brings the stage of an engine to what is to be loaded."""

import asyncio
from typing import Final

from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EnginePort

# Staged chunks checked at once.
CHECKED_AT_ONCE: Final = 4


async def ensure_staged(engine: EnginePort, chunks: VersionChunks) -> bool:
    """Stage anew what is not there as it should be; say whether all is."""
    queue = list(chunks.contents.items())
    failed: list[int] = []

    async def check_some() -> None:
        while queue:
            index, content = queue.pop()
            if not await ensure_chunk_staged(engine, chunks, index, content):
                failed.append(index)

    await asyncio.gather(*(check_some() for _ in range(CHECKED_AT_ONCE)))
    return not failed


async def ensure_chunk_staged(
    engine: EnginePort, chunks: VersionChunks, index: int, content: bytes
) -> bool:
    """Stage one chunk unless it is there already."""
    model = chunks.manifest.model
    if await engine.read_staged(model, index) == content:
        return True
    return await engine.write_staged(model, index, content)


async def adopt_staged(engine: EnginePort, chunks: VersionChunks) -> int:
    """Take over what is staged of a version; say how many chunks it was."""
    model = chunks.manifest.model
    for index in sorted(await engine.list_staged(model)):
        if index in chunks.missing:
            chunks.take(index, await engine.read_staged(model, index))
    return len(chunks.contents)

"""Make the staged chunks of an engine match the version to load."""

import asyncio
from typing import Final

from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EnginePort

CONCURRENT_CHECKS: Final = 4


async def ensure_staged(engine: EnginePort, chunks: VersionChunks) -> bool:
    """Stage missing or differing chunks; return whether all succeeded."""
    queue = list(chunks.contents.items())
    failed: list[int] = []

    async def check_some() -> None:
        while queue:
            index, content = queue.pop()
            if not await ensure_chunk_staged(engine, chunks, index, content):
                failed.append(index)

    await asyncio.gather(*(check_some() for _ in range(CONCURRENT_CHECKS)))
    return not failed


async def ensure_chunk_staged(
    engine: EnginePort, chunks: VersionChunks, index: int, content: bytes
) -> bool:
    """Stage one chunk unless the same content is staged already."""
    model = chunks.manifest.model
    if await engine.read_staged(model, index) == content:
        return True
    return await engine.write_staged(model, index, content)


async def adopt_staged(engine: EnginePort, chunks: VersionChunks) -> int:
    """Adopt staged chunks of a version; return how many are held then."""
    model = chunks.manifest.model
    for index in sorted(await engine.list_staged(model)):
        if index in chunks.missing:
            chunks.take(index, await engine.read_staged(model, index))
    return len(chunks.contents)

"""Order of the uploads of one chunk.

Load pattern: a chunk, and first the manifest, goes through all failure domains
one after the other before the last host has its first chunk, and every link
behind is idle meanwhile. A host sends each chunk to a few receivers. Sent to
all at once, the chunk takes that many times longer on each hop. So receivers
that pass the chunk on get it first, and then leaves.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from ragwortcourse.identifiers import Sha256Hex

ChunkKey = tuple[Sha256Hex, int]


class PassingUploads:
    """Uploads, under way or queued, to receivers that pass the chunk on."""

    def __init__(self) -> None:
        self._ends: dict[ChunkKey, list[asyncio.Event]] = {}

    @contextlib.contextmanager
    def hold_leaves(self, chunk: ChunkKey) -> Iterator[None]:
        """Let leaves wait for the upload inside the context."""
        end = asyncio.Event()
        self._ends.setdefault(chunk, []).append(end)
        try:
            yield
        finally:
            end.set()
            self._forget(chunk, end)

    async def let_pass(self, chunk: ChunkKey, deadline: float) -> None:
        """Wait until the uploads that go first have ended.

        :param deadline: monotonic seconds.
        """
        # Other requests that waited for this chunk wake up at the same time.
        await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                for end in tuple(self._ends.get(chunk, ())):
                    await end.wait()

    def _forget(self, chunk: ChunkKey, end: asyncio.Event) -> None:
        self._ends[chunk].remove(end)
        if not self._ends[chunk]:
            self._ends.pop(chunk)

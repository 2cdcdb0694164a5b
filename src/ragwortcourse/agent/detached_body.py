"""A body that is read on even when its reader is cancelled."""

import asyncio
from collections.abc import AsyncIterator


class DetachedBody:
    """Keeps the read in hand, so that the next reader takes it over.

    :param body: the body to read.
    """

    def __init__(self, *, body: AsyncIterator[bytes]) -> None:
        self._body = body
        self._pending: asyncio.Task[bytes | None] | None = None

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._pending is None:
            self._pending = asyncio.create_task(self._read())
        chunk = await asyncio.shield(self._pending)
        self._pending = None
        if chunk is None:
            raise StopAsyncIteration
        return chunk

    async def _read(self) -> bytes | None:
        return await anext(self._body, None)

"""Body of an answer on its way to the caller."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from ragwortcourse.messages.attempt import AnswerBrokenError

KEPT_BYTES: Final = 4096
KEEP_READING_SECONDS: Final = 30.0


async def close_body(body: AsyncIterator[bytes]) -> None:
    """Let go of a body that is not read to its end."""
    close = getattr(body, 'aclose', None)
    if close is not None:
        await close()


class AnswerBody:
    """Relays chunks and tells once how the answer ended.

    :param first: chunk already read, if any.
    :param rest: the target's body after that.
    :param finish: called once, with true where the whole answer came.
    :param on_break: called where the target broke the answer off, before
        the caller hears of it.
    :param kept: gets the body's bytes, up to ``KEPT_BYTES`` and one chunk;
        the answer is then read to its end even where the caller has left.
    """

    def __init__(
        self,
        *,
        first: bytes | None,
        rest: AsyncIterator[bytes],
        finish: Callable[[bool], Awaitable[None]],
        on_break: Callable[[], Awaitable[None]] | None = None,
        kept: bytearray | None = None,
    ) -> None:
        self._first = first
        self._rest = rest
        self._finish: Callable[[bool], Awaitable[None]] | None = finish
        self._on_break = on_break
        self._kept = kept

    def __aiter__(self) -> 'AnswerBody':
        """The body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Next chunk.

        :raises AnswerBrokenError: where the answer ends short.
        """
        chunk = self._first
        self._first = None
        if chunk is None:
            chunk = await self._read()
        if self._kept is not None and len(self._kept) <= KEPT_BYTES:
            self._kept += chunk
        return chunk

    async def aclose(self) -> None:
        """Stop relaying; the answer counts as not whole unless it is kept."""
        if self._kept is not None and self._finish is not None:
            with contextlib.suppress(AnswerBrokenError, TimeoutError):
                await self._read_on()
        await self._end(is_whole=False)

    async def _read_on(self) -> None:
        async with asyncio.timeout(KEEP_READING_SECONDS):
            while True:
                try:
                    await anext(self)
                except StopAsyncIteration:
                    return

    async def _read(self) -> bytes:
        try:
            return await anext(self._rest)
        except StopAsyncIteration:
            await self._end(is_whole=True)
            raise
        except AnswerBrokenError:
            await self._end_broken()
            raise
        except asyncio.CancelledError:
            await self._end(is_whole=False)
            raise

    async def _end_broken(self) -> None:
        try:
            if self._on_break is not None:
                await self._on_break()
        finally:
            await self._end(is_whole=False)

    async def _end(self, *, is_whole: bool) -> None:
        finish = self._finish
        self._finish = None
        if finish is None:
            return
        try:
            await close_body(self._rest)
        finally:
            await finish(is_whole)

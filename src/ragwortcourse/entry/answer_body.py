"""Answer bodies that are relayed to callers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from ragwortcourse.messages.attempt import AnswerBrokenError

KEPT_BYTES: Final = 4096
KEEP_READING_SECONDS: Final = 30.0


async def close_body(body: AsyncIterator[bytes]) -> None:
    """Close a body that is not read to its end."""
    close = getattr(body, 'aclose', None)
    if close is not None:
        await close()


class AnswerBody:
    """Relays the chunks of an answer and reports its end once.

    :param first: chunk that was already read, if any.
    :param rest: remaining body of the target's answer.
    :param finish: called once at the end; its argument is true if the whole
        answer arrived.
    :param on_break: called if the target's answer breaks, before the error
        is raised to the reader.
    :param kept: buffer for the body; it takes chunks until it holds more
        than ``KEPT_BYTES``. With a buffer, the answer is read on after the
        caller has disconnected.
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
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        :raises AnswerBrokenError: if the answer ends before it is complete.
        """
        chunk = self._first
        self._first = None
        if chunk is None:
            chunk = await self._read()
        if self._kept is not None and len(self._kept) <= KEPT_BYTES:
            self._kept += chunk
        return chunk

    async def aclose(self) -> None:
        """Stop relaying; the answer is reported as incomplete.

        An answer with a ``kept`` buffer is first read on for at most
        ``KEEP_READING_SECONDS``, and is whole if its end comes in that time.
        """
        if self._kept is not None and self._finish is not None:
            with contextlib.suppress(AnswerBrokenError, TimeoutError):
                await self._read_to_end()
        await self._end(is_whole=False)

    async def _read_to_end(self) -> None:
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

"""Body of an answer on its way to the caller."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from ragwortcourse.messages.attempt import AnswerBrokenError


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
    """

    def __init__(
        self,
        *,
        first: bytes | None,
        rest: AsyncIterator[bytes],
        finish: Callable[[bool], Awaitable[None]],
    ) -> None:
        self._first = first
        self._rest = rest
        self._finish: Callable[[bool], Awaitable[None]] | None = finish

    def __aiter__(self) -> 'AnswerBody':
        """The body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Next chunk.

        :raises AnswerBrokenError: where the answer ends short.
        """
        if self._first is not None:
            first, self._first = self._first, None
            return first
        try:
            return await anext(self._rest)
        except StopAsyncIteration:
            await self._end(is_whole=True)
            raise
        except (AnswerBrokenError, asyncio.CancelledError):
            await self._end(is_whole=False)
            raise

    async def aclose(self) -> None:
        """Stop reading; the answer counts as not whole."""
        await self._end(is_whole=False)

    async def _end(self, *, is_whole: bool) -> None:
        finish, self._finish = self._finish, None
        if finish is None:
            return
        try:
            await close_body(self._rest)
        finally:
            await finish(is_whole)

"""Body of an agent's answer, streamed over HTTP."""

from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from ragwortcourse.messages.attempt import AnswerBrokenError

FAILURES: Final = (aiohttp.ClientError, TimeoutError, OSError)


class RelayedBody:
    """Chunks of an agent's answer, as they arrive.

    Closing the body closes the connection, so the agent notices at once.
    This is a class because a generator that is closed before its first
    chunk runs no code and would leave the connection open.
    """

    def __init__(self, *, answer: aiohttp.ClientResponse) -> None:
        self._answer = answer
        self._chunks = aiter(answer.content.iter_any())

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        :raises AnswerBrokenError: if the answer ends before it is complete.
        """
        try:
            return await anext(self._chunks)
        except FAILURES as error:
            await self.aclose()
            raise AnswerBrokenError(repr(error)) from error

    async def aclose(self) -> None:
        """Close the connection, unless the answer was read to its end."""
        self._answer.close()

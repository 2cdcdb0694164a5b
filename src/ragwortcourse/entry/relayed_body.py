"""Body of an agent's answer as it comes over HTTP."""

from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from ragwortcourse.messages.attempt import AnswerBrokenError

FAILURES: Final = (aiohttp.ClientError, TimeoutError, OSError)


class RelayedBody:
    """Chunks as they are readable; closing it tells the agent at once.

    A class, not a generator: one that is closed before its first chunk
    must end the connection too.
    """

    def __init__(self, *, answer: aiohttp.ClientResponse) -> None:
        self._answer = answer
        self._chunks = aiter(answer.content.iter_any())

    def __aiter__(self) -> AsyncIterator[bytes]:
        """The body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Next chunk.

        :raises AnswerBrokenError: the answer ends short.
        """
        try:
            return await anext(self._chunks)
        except FAILURES as error:
            await self.aclose()
            raise AnswerBrokenError(repr(error)) from error

    async def aclose(self) -> None:
        """End the connection, unless the answer was read to its end."""
        self._answer.close()

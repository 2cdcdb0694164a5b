"""The body of an HTTP answer, as the engine port hands it out."""

from collections.abc import AsyncIterator

import aiohttp

from ragwortcourse.engines.engine import EngineBrokenError


class HttpBody:
    """Chunks as they arrive; closing it lets the connection go.

    :param response: an answer whose headers were read.
    """

    def __init__(self, *, response: aiohttp.ClientResponse) -> None:
        self._response = response

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = await self._response.content.readany()
        except (aiohttp.ClientError, ConnectionError) as error:
            raise EngineBrokenError(str(error)) from error
        if not chunk:
            self._response.release()
            raise StopAsyncIteration
        return chunk

    async def aclose(self) -> None:
        """Close the connection of an answer that was not read to its end."""
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._response.close()

"""Body of an HTTP answer for the engine port."""

from collections.abc import AsyncIterator

import aiohttp

from ragwortcourse.engines.engine import EngineBrokenError


class HttpBody:
    """Iterator over the pieces of a body; closing it closes the connection.

    :param response: response whose headers have been read.
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
        """Close the connection of an answer that was not fully read."""
        self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        self._response.close()

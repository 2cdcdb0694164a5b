"""Reading of whole HTTP bodies up to a limit."""

from typing import Final

import aiohttp

# Statuses, orders and their outcomes.
SMALL_BODY_BYTES: Final = 1_048_576
# Rows, manifests and chunks of weights.
LARGE_BODY_BYTES: Final = 16_777_216


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body is longer than its reader takes."""


async def read_body(response: aiohttp.ClientResponse, *, limit: int) -> bytes:
    """Read a whole body.

    :param limit: maximum number of bytes.
    :raises BodyTooLongError: the body is longer.
    :raises aiohttp.ClientError: the body ended early.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > limit:
            raise BodyTooLongError(
                f'{response.url}: body longer than {limit} bytes'
            )
    return bytes(body)

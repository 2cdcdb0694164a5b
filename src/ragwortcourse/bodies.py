"""Reading of whole HTTP bodies up to a limit, and of their types."""

from collections.abc import Iterable, Mapping
from typing import Final

import aiohttp

# Statuses, orders and their outcomes.
SMALL_BODY_BYTES: Final = 1_048_576
# Rows, manifests and chunks of weights.
LARGE_BODY_BYTES: Final = 16_777_216
_FRAMING: Final = frozenset(('content-length', 'transfer-encoding'))


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


def is_framed(headers: Iterable[str]) -> bool:
    """Tell whether the headers of an answer show where its body ends.

    Any other body ends with its connection.

    :param headers: names in any case.
    """
    return not _FRAMING.isdisjoint(name.lower() for name in headers)


def read_media_type(headers: Mapping[str, str]) -> str:
    """Return the media type of a body, in lower case, without parameters.

    :param headers: headers by lower-case name, or in any case if the mapping
        ignores it.
    """
    kind, _, _ = headers.get('content-type', '').partition(';')
    return kind.strip().lower()

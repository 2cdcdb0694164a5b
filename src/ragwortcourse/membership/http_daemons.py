"""HTTP client for the requests that all daemons answer."""

from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import Generation, Sha256Hex
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import DaemonPort, PeerUnavailable
from ragwortcourse.unreadable import UnreadableError

FETCH_TIMEOUT_SECONDS: Final = 2.0
EXCHANGE_TIMEOUT_SECONDS: Final = 1.0
OK: Final = 200

FETCH_TIMEOUT: Final = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
EXCHANGE_TIMEOUT: Final = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_SECONDS)
PEER_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    UnreadableError,
)


class _RefusedError(aiohttp.ClientError):
    """The other daemon answered with an error status."""


def build_http_daemons(*, session: aiohttp.ClientSession) -> DaemonPort:
    """Build a port that reaches other daemons over HTTP."""

    async def get(url: str) -> bytes | PeerUnavailable:
        try:
            async with session.get(url, timeout=FETCH_TIMEOUT) as response:
                return await _read_body(response)
        except PEER_ERRORS as error:
            return PeerUnavailable(detail=f'{url}: {error!r}')

    async def post_heartbeat(url: str, body: bytes) -> Heartbeat:
        async with session.post(
            url, data=body, timeout=EXCHANGE_TIMEOUT
        ) as response:
            answer = await _read_body(response)
        return decode_json(answer, Heartbeat)

    async def fetch_index(
        address: str, generation: Generation
    ) -> bytes | PeerUnavailable:
        return await get(f'http://{address}/configuration/{generation}')

    async def fetch_part(
        address: str, digest: Sha256Hex
    ) -> bytes | PeerUnavailable:
        return await get(f'http://{address}/configuration/part/{digest}')

    async def exchange(
        address: str, heartbeat: Heartbeat
    ) -> Heartbeat | PeerUnavailable:
        url = f'http://{address}/exchange'
        try:
            return await post_heartbeat(url, msgspec.json.encode(heartbeat))
        except PEER_ERRORS as error:
            return PeerUnavailable(detail=f'{url}: {error!r}')

    return DaemonPort(
        fetch_index=fetch_index, fetch_part=fetch_part, exchange=exchange
    )


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    if response.status != OK:
        raise _RefusedError(f'status {response.status}')
    return await read_body(response, limit=LARGE_BODY_BYTES)

"""HTTP transfer of chunks between the daemons of a fleet."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    web,
)

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.planning.chunk_options import (
    ChunkOptions,
    decode_options,
)

# Time for which a daemon holds a request while it downloads the chunk.
WAIT_SECONDS: Final = 1.0
# Longer than ``WAIT_SECONDS``, to leave time for the bytes on a narrow link.
FETCH_SECONDS: Final = 2.5
CONNECT_SECONDS: Final = 0.3
# Small enough that live requests on the same link are not delayed for long.
SLICE_BYTES: Final = 4_096
OK: Final = 200
NO_OPTIONS: Final = ChunkOptions()

FindChunk = Callable[[ModelName, int, int], Awaitable[bytes | None]]
NoteGone = Callable[[ModelName, int, int, tuple[str, ...]], None]


class NoteAsked(Protocol):
    """Note of a request for a chunk."""

    def __call__(
        self, model: ModelName, version: int, *, is_relay: bool
    ) -> None:
        """Note that a loader or an entry daemon asked for a chunk."""


def build_chunk_routes(
    find_chunk: FindChunk,
    *,
    link_rate: int = 0,
    note_gone: NoteGone | None = None,
    note_asked: NoteAsked | None = None,
) -> list[web.RouteDef]:
    """Build the route that serves chunks on the port for other daemons.

    :param find_chunk: returns a chunk of a model version by index, or
        ``None`` if the chunk is not available.
    :param note_gone: called for a request that comes here because the given
        addresses accept no connections.
    :param note_asked: called for each request.
    :param link_rate: bytes a second that all chunks together may take of
        this host's link, one chunk after the other; zero: no limit.
    """
    link = asyncio.Lock()

    async def send_chunk(request: web.Request) -> web.StreamResponse:
        info = request.match_info
        asked = (
            ModelName(info['model']),
            int(info['version']),
            int(info['index']),
        )
        options = decode_options(request.query)
        if note_asked is not None:
            note_asked(*asked[:2], is_relay=options.is_relay)
        if note_gone is not None and options.gone:
            note_gone(*asked, tuple(options.gone))
        content = await _find_in_time(find_chunk(*asked))
        if content is None:
            return web.Response(status=web.HTTPNotFound.status_code)
        if link_rate:
            async with link:
                return await _send_paced(request, content, link_rate)
        if options.rate:
            return await _send_paced(request, content, options.rate)
        return web.Response(
            body=content, content_type='application/octet-stream'
        )

    path = r'/chunks/{model}/{version:\d{1,18}}/{index:\d{1,9}}'
    return [web.get(path, send_chunk)]


async def _find_in_time(finding: Awaitable[bytes | None]) -> bytes | None:
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            return await finding
    except TimeoutError:
        return None


async def _send_paced(
    request: web.Request, content: bytes, rate: int
) -> web.StreamResponse:
    """Send a chunk no faster than a rate, such as the receiver's link rate.

    :param rate: bytes a second.
    """
    response = web.StreamResponse()
    response.content_length = len(content)
    await response.prepare(request)
    started_at = read_clock()
    for start in range(0, len(content), SLICE_BYTES):
        ahead_seconds = started_at + start / rate - read_clock()
        if ahead_seconds > 0:
            await asyncio.sleep(ahead_seconds)
        await response.write(content[start : start + SLICE_BYTES])
    await response.write_eof()
    return response


async def fetch_chunk(
    *,
    session: ClientSession,
    reach: PeerReach,
    address: str,
    manifest: FleetManifest,
    index: int,
    options: ChunkOptions = NO_OPTIONS,
) -> bytes | None:
    """Fetch a chunk from another daemon, unverified.

    :return: bytes, or ``None`` if the daemon failed or lacks the chunk.
    """
    url = f'http://{address}/chunks/{manifest.model}/{manifest.version}/{index}'
    timeout = ClientTimeout(total=FETCH_SECONDS, sock_connect=CONNECT_SECONDS)
    is_answered = False
    try:
        async with session.get(
            url, params=options.encode(), timeout=timeout
        ) as response:
            is_answered = True
            if response.status != OK:
                return None
            return await read_body(response, limit=LARGE_BODY_BYTES)
    except (ClientConnectorError, ConnectionTimeoutError):
        reach.note_silent(address)
    except TimeoutError:
        # A daemon that runs answers within ``WAIT_SECONDS``.
        if not is_answered:
            reach.note_silent(address)
    except (ClientError, OSError):
        # The caller asks the next source.
        return None
    return None

"""Chunks between loaders over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp
from aiohttp import web

from ragwortcourse.weights.fleet_manifest import FleetManifest

# A chunk that is on its way to the asked loader is waited for.
WAIT_SECONDS: Final = 1.5
# Above it, for the bytes themselves over a narrow link that others share.
FETCH_SECONDS: Final = 3.0
OK: Final = 200

FindChunk = Callable[[int, int, float], Awaitable[bytes | None]]


def build_chunk_routes(find_chunk: FindChunk) -> list[web.RouteDef]:
    """Route of the port for other daemons.

    :param find_chunk: chunk of a version by its index, waited for up to
        some seconds; none where it is not here.
    """

    async def send_chunk(request: web.Request) -> web.Response:
        content = await find_chunk(
            int(request.match_info['version']),
            int(request.match_info['index']),
            WAIT_SECONDS,
        )
        if content is None:
            return web.Response(status=web.HTTPNotFound.status_code)
        return web.Response(
            body=content, content_type='application/octet-stream'
        )

    return [
        web.get(r'/chunks/{version:\d{1,18}}/{index:\d{1,9}}', send_chunk),
    ]


async def fetch_chunk(
    session: aiohttp.ClientSession,
    address: str,
    manifest: FleetManifest,
    index: int,
) -> bytes | None:
    """Bytes that another loader sent, unchecked; none where it has none."""
    url = f'http://{address}/chunks/{manifest.version}/{index}'
    try:
        async with (
            asyncio.timeout(FETCH_SECONDS),
            session.get(url) as response,
        ):
            if response.status != OK:
                return None
            return await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        # The next source follows.
        return None

"""Manifests between the daemons of a fleet over HTTP."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    web,
)

from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_reach import PeerReach

# A manifest that is on its way to the asked daemon is waited for.
WAIT_SECONDS: Final = 1.0
# Above it, for some kilobytes over a narrow link.
FETCH_SECONDS: Final = 1.5
CONNECT_SECONDS: Final = 0.3
OK: Final = 200
FAILURES: Final = (ClientError, OSError, TimeoutError, msgspec.DecodeError)
TIMEOUT: Final = ClientTimeout(
    total=FETCH_SECONDS, sock_connect=CONNECT_SECONDS
)

LOGGER: Final = logging.getLogger(__name__)

FindManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]


def build_manifest_routes(find_manifest: FindManifest) -> list[web.RouteDef]:
    """Route of the port for other daemons.

    :param find_manifest: manifest of a model's version; none where it can't
        be had.
    """

    async def send_manifest(request: web.Request) -> web.Response:
        info = request.match_info
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                manifest = await find_manifest(
                    ModelName(info['model']), int(info['version'])
                )
        except TimeoutError:
            manifest = None
        if manifest is None:
            raise web.HTTPNotFound
        return web.Response(
            body=msgspec.json.encode(manifest), content_type='application/json'
        )

    path = r'/manifests/{model}/{version:\d{1,18}}'
    return [web.get(path, send_manifest)]


async def fetch_manifest(
    *,
    session: ClientSession,
    reach: PeerReach,
    addresses: Iterable[str],
    model: ModelName,
    version: int,
) -> FleetManifest | None:
    """The manifest from the first daemon that has it; none: nobody has."""
    for address in reach.order(list(addresses)):
        url = f'http://{address}/manifests/{model}/{version}'
        try:
            async with session.get(url, timeout=TIMEOUT) as response:
                if response.status == OK:
                    return msgspec.json.decode(
                        await response.read(), type=FleetManifest
                    )
        except (ClientConnectorError, ConnectionTimeoutError):
            reach.note_silent(address)
        except FAILURES as error:
            LOGGER.info(
                'manifest not had from a daemon; asking the next',
                extra={'address': address, 'detail': repr(error)},
            )
    return None

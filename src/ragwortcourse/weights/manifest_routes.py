"""HTTP transfer of manifests between the daemons of a fleet."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    web,
)

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import ModelName
from ragwortcourse.unreadable import UnreadableError
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.peer_reach import PeerReach

# Time for which a daemon holds a request while it reads the manifest.
WAIT_SECONDS: Final = 1.0
# Longer than ``WAIT_SECONDS``, to leave time for a few kilobytes on a narrow
# link.
FETCH_SECONDS: Final = 1.5
CONNECT_SECONDS: Final = 0.3
OK: Final = 200
FAILURES: Final = (ClientError, OSError, TimeoutError, UnreadableError)
TIMEOUT: Final = ClientTimeout(
    total=FETCH_SECONDS, sock_connect=CONNECT_SECONDS
)

LOGGER: Final = logging.getLogger(__name__)

FindManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]


def build_manifest_routes(find_manifest: FindManifest) -> list[web.RouteDef]:
    """Build the route that serves manifests on the port for other daemons.

    :param find_manifest: returns the manifest of a model version, or ``None``
        if the manifest is not available.
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
    """Fetch the manifest from the first daemon that has it.

    :return: ``None`` if no daemon has the manifest.
    """
    wanted = ModelVersion(model, version)
    for address in reach.order(list(addresses)):
        url = f'http://{address}/manifests/{model}/{version}'
        try:
            async with session.get(url, timeout=TIMEOUT) as response:
                manifest = await _read_manifest(response, wanted)
                if manifest is not None:
                    return manifest
        except (ClientConnectorError, ConnectionTimeoutError):
            reach.note_silent(address)
        except FAILURES as error:
            LOGGER.info(
                'manifest request to a daemon failed; asking the next daemon',
                extra={'address': address, 'detail': repr(error)},
            )
    return None


async def _read_manifest(
    response: ClientResponse, wanted: ModelVersion
) -> FleetManifest | None:
    """Read the manifest of a version; none if the answer has no such one."""
    if response.status != OK:
        return None
    body = await read_body(response, limit=LARGE_BODY_BYTES)
    manifest = decode_json(body, FleetManifest)
    if manifest.model_version == wanted:
        return manifest
    LOGGER.warning(
        'manifest of other weights from a daemon; asking the next daemon',
        extra={
            'address': str(response.url.authority),
            'model': wanted.model,
            'version': wanted.version,
            'found_model': manifest.model,
            'found_version': manifest.version,
        },
    )
    return None

"""Routes by which daemons give each other the configuration."""

from typing import Final

from aiohttp import web

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.identifiers import Sha256Hex

# Shorter answers gain nothing by it.
LEAST_COMPRESSED_BYTES: Final = 200


def build_configuration_routes(
    *, holder: ConfigurationHolder
) -> list[web.RouteDef]:
    """Routes of the peers' port at any daemon."""

    async def get_index(request: web.Request) -> web.Response:
        snapshot = holder.snapshot
        wanted = int(request.match_info['generation'])
        if snapshot is None or snapshot.document.generation < wanted:
            return web.Response(status=web.HTTPNotFound.status_code)
        return _answer(snapshot.index)

    async def get_part(request: web.Request) -> web.Response:
        snapshot = holder.snapshot
        digest = Sha256Hex(request.match_info['digest'])
        if snapshot is None or digest not in snapshot.contents:
            return web.Response(status=web.HTTPNotFound.status_code)
        return _answer(snapshot.contents[digest])

    return [
        web.get(r'/configuration/{generation:\d{1,18}}', get_index),
        web.get('/configuration/part/{digest:[0-9a-f]{64}}', get_part),
    ]


def _answer(content: bytes) -> web.Response:
    response = web.Response(body=content, content_type='application/json')
    if len(content) >= LEAST_COMPRESSED_BYTES:
        response.enable_compression()
    return response

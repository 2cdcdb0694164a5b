"""Route by which daemons give each other the configuration."""

import msgspec
from aiohttp import web

from ragwortcourse.configuration.holder import ConfigurationHolder


def build_configuration_routes(
    *, holder: ConfigurationHolder
) -> list[web.RouteDef]:
    """Routes of the peers' port at any daemon."""

    async def get_configuration(request: web.Request) -> web.Response:
        document = holder.document
        wanted = int(request.match_info['generation'])
        if document is None or document.generation < wanted:
            return web.Response(status=web.HTTPNotFound.status_code)
        response = web.Response(
            body=msgspec.json.encode(document),
            content_type='application/json',
        )
        response.enable_compression()
        return response

    return [web.get(r'/configuration/{generation:\d{1,18}}', get_configuration)]

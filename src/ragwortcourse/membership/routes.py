"""HTTP route for the exchange between entry daemons."""

import msgspec
from aiohttp import web

from ragwortcourse.decoding import decode_json
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.membership.exchange import answer_exchange
from ragwortcourse.membership.membership import Membership
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.unreadable import UnreadableError


def build_exchange_routes(*, membership: Membership) -> list[web.RouteDef]:
    """Build the route on which entry daemons exchange their state."""

    async def post_exchange(request: web.Request) -> web.Response:
        try:
            heartbeat = decode_json(await read_request_body(request), Heartbeat)
        except UnreadableError as error:
            return web.Response(
                status=web.HTTPBadRequest.status_code, text=str(error)
            )
        answer = await answer_exchange(membership, heartbeat)
        return web.Response(
            body=msgspec.json.encode(answer), content_type='application/json'
        )

    return [web.post('/exchange', post_exchange)]

"""Exchange of request records between entry daemons."""

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.operator_state import RecordRelay
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.decision import RequestRecord
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.unreadable import UnreadableError

RELAY_TIMEOUT_SECONDS: Final = 2.0
RELAY_TIMEOUT: Final = ClientTimeout(total=RELAY_TIMEOUT_SECONDS)
OK: Final = 200
NOT_FOUND: Final = 404


def build_record_routes(
    *, find_record: Callable[[RequestId], RequestRecord | None]
) -> list[web.RouteDef]:
    """Build the peer port's route that serves request records."""

    async def get_record(request: web.Request) -> web.Response:
        record = find_record(RequestId(request.match_info['request']))
        if record is None:
            return web.Response(status=NOT_FOUND)
        return web.Response(
            body=msgspec.json.encode(record), content_type='application/json'
        )

    return [web.get('/requests/{request}', get_record)]


def build_record_relay(*, session: ClientSession) -> RecordRelay:
    """Build the HTTP client that fetches a record from another daemon."""

    async def get_record(url: str) -> RequestRecord | PeerUnavailable | None:
        async with session.get(url, timeout=RELAY_TIMEOUT) as response:
            if response.status == NOT_FOUND:
                return None
            if response.status != OK:
                return PeerUnavailable(detail=f'status {response.status}')
            body = await read_body(response, limit=LARGE_BODY_BYTES)
        return decode_json(body, RequestRecord)

    async def relay(
        address: str, request: RequestId
    ) -> RequestRecord | PeerUnavailable | None:
        url = f'http://{address}/requests/{quote(request, safe="")}'
        try:
            return await get_record(url)
        except (ClientError, TimeoutError, OSError) as error:
            return PeerUnavailable(detail=f'{url}: {error!r}')
        except UnreadableError as error:
            return PeerUnavailable(detail=f'{url}: {error}')

    return relay

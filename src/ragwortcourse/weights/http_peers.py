"""HTTP adapter for the port to other agents' chunks."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import aiohttp
from multidict import CIMultiDict

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.messages.headers import SENDER
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.weights.peer_port import (
    ChunkAnswer,
    ChunkContent,
    ChunkDeclined,
    ChunkEvicted,
    ChunkNotReady,
    ChunkOutcome,
    ChunkPort,
    ChunkRefused,
    ChunkRequest,
)
from ragwortcourse.weights.routes import (
    DECLINED_STATUS,
    GONE_STATUS,
    LATER_STATUS,
    REFUSED_STATUS,
    list_silent,
    read_silent,
)

CONNECT_SECONDS: Final = 2.0
# Longer than a peer holds a request while it waits for the chunk.
READ_SECONDS: Final = 5.0
TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_SECONDS, sock_read=READ_SECONDS
)
AnswerTypes = Mapping[int, type[ChunkAnswer]]
EMPTY_ANSWERS: Final[AnswerTypes] = {
    LATER_STATUS: ChunkNotReady,
    GONE_STATUS: ChunkEvicted,
    REFUSED_STATUS: ChunkRefused,
    DECLINED_STATUS: ChunkDeclined,
}


def list_options(request: ChunkRequest) -> dict[str, str]:
    """Return the query parameters of a request."""
    options = {
        'relay': request.refetch,
        'urgent': request.urgent,
        'leaf': request.leaf,
        'probe': request.probe,
    }
    return {name: '1' for name, is_set in options.items() if is_set}


def list_headers(request: ChunkRequest) -> CIMultiDict[str]:
    """Return the headers of a request."""
    headers = list_silent(request.silent)
    headers[SENDER] = request.sender
    return headers


def build_http_peers(*, session: aiohttp.ClientSession) -> ChunkPort:
    """Build the port to other agents' peers ports."""

    async def fetch(address: str, request: ChunkRequest) -> ChunkOutcome:
        url = f'http://{address}/chunks/{request.manifest}/{request.index}'
        try:
            async with session.get(
                url,
                params=list_options(request),
                headers=list_headers(request),
                timeout=TIMEOUT,
            ) as response:
                silent = read_silent(response.headers)
                if response.status == HTTPStatus.OK:
                    content = await read_body(response, limit=LARGE_BODY_BYTES)
                    return ChunkContent(content=content, silent=silent)
                answer = EMPTY_ANSWERS.get(response.status)
                if answer is not None:
                    return answer(silent=silent)
                return PeerUnavailable(
                    detail=f'{url}: status {response.status}'
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return PeerUnavailable(detail=f'{url}: {error!r}')

    return ChunkPort(fetch=fetch)

"""HTTP routes for weights on an agent's peers port."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.messages.headers import SENDER, SILENT
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.peer_port import (
    ChunkAnswer,
    ChunkContent,
    ChunkDeclined,
    ChunkEvicted,
    ChunkNotReady,
    ChunkRequest,
)
from ragwortcourse.weights.progress import describe_progress
from ragwortcourse.weights.sending import pace_pieces
from ragwortcourse.weights.serving import offer_chunk

LATER_STATUS: Final = HTTPStatus.TOO_EARLY
GONE_STATUS: Final = HTTPStatus.GONE
REFUSED_STATUS: Final = HTTPStatus.TOO_MANY_REQUESTS
DECLINED_STATUS: Final = HTTPStatus.MISDIRECTED_REQUEST


def build_weight_routes(*, agent_weights: AgentWeights) -> list[web.RouteDef]:
    """Build the routes for chunk downloads by peers and transfer progress."""

    async def handle_chunk(request: web.Request) -> web.StreamResponse:
        asked = read_request(request)
        if asked is None:
            return web.Response(
                status=HTTPStatus.BAD_REQUEST, text=f'bad {request.path}'
            )
        async with offer_chunk(agent_weights, asked) as outcome:
            if not isinstance(outcome, ChunkContent):
                return web.Response(
                    status=find_status(outcome),
                    headers=list_silent(outcome.silent),
                )
            # The context holds an upload slot until the content is sent.
            headers = list_silent(outcome.silent)
            response = web.StreamResponse(headers=headers)
            response.content_length = len(outcome.content)
            await response.prepare(request)
            async for piece in pace_pieces(agent_weights, outcome.content):
                await response.write(piece)
            await response.write_eof()
            return response

    async def handle_progress(_: web.Request) -> web.StreamResponse:
        progress = describe_progress(agent_weights)
        return web.Response(
            body=msgspec.json.encode(progress),
            content_type='application/json',
        )

    return [
        web.get('/chunks/{manifest}/{index}', handle_chunk),
        web.get('/landing', handle_progress),
    ]


def read_request(request: web.Request) -> ChunkRequest | None:
    """Read a peer's chunk request; None if the index is not a number."""
    try:
        index = int(request.match_info['index'])
    except ValueError:
        return None
    return ChunkRequest(
        manifest=Sha256Hex(request.match_info['manifest']),
        index=index,
        sender=DaemonId(request.headers.get(SENDER, '')),
        refetch='relay' in request.query,
        urgent='urgent' in request.query,
        leaf='leaf' in request.query,
        probe='probe' in request.query,
        silent=read_silent(request.headers),
    )


def list_silent(peers: Iterable[DaemonId]) -> CIMultiDict[str]:
    """Build the headers that name silent peers."""
    return CIMultiDict((SILENT, peer) for peer in peers)


def read_silent(headers: CIMultiDictProxy[str]) -> tuple[DaemonId, ...]:
    """Read the silent peers that the headers name."""
    return tuple(map(DaemonId, headers.getall(SILENT, ())))


def find_status(outcome: ChunkAnswer) -> int:
    """Return the HTTP status of an answer without content."""
    if isinstance(outcome, ChunkNotReady):
        return LATER_STATUS
    if isinstance(outcome, ChunkEvicted):
        return GONE_STATUS
    if isinstance(outcome, ChunkDeclined):
        return DECLINED_STATUS
    return REFUSED_STATUS

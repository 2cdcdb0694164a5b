"""Direct broadcast of crashing requests to the other entry daemons."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ragwortcourse.decoding import decode_json
from ragwortcourse.entry.crasher_sync import merge_crasher
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.messages.shared_crasher import SharedCrasher
from ragwortcourse.unreadable import UnreadableError

PEER_SECONDS: Final = 0.5
PEERS_AT_ONCE: Final = 64
_TIMEOUT: Final = ClientTimeout(total=PEER_SECONDS)

SendCrasher = Callable[[str, SharedCrasher], Awaitable[None]]
BroadcastCrasher = Callable[[SharedCrasher], Awaitable[None]]


def build_crasher_broadcast(
    *, send: SendCrasher, list_addresses: Callable[[], Iterable[str]]
) -> BroadcastCrasher:
    """Build the broadcast to all other known entry daemons.

    At most ``PEERS_AT_ONCE`` daemons are contacted concurrently.

    :param send: sends the evidence to one daemon by its ``ip:port``.
    :param list_addresses: lists the daemons' ``ip:port``.
    """

    async def broadcast(crasher: SharedCrasher) -> None:
        slots = asyncio.Semaphore(PEERS_AT_ONCE)

        async def send_one(address: str) -> None:
            async with slots:
                await send(address, crasher)

        await asyncio.gather(*map(send_one, list_addresses()))

    return broadcast


def build_http_crasher_client(*, session: ClientSession) -> SendCrasher:
    """Build the HTTP client that sends evidence to one daemon.

    Failures are ignored: a daemon that misses the message learns of the
    crashing request from the shared row.
    """

    async def send(address: str, crasher: SharedCrasher) -> None:
        body = msgspec.json.encode(crasher)
        try:
            async with session.post(
                f'http://{address}/crashers', data=body, timeout=_TIMEOUT
            ):
                return
        except (ClientError, TimeoutError, OSError):
            return

    return send


def build_crasher_routes(*, crashers: CrasherRegistry) -> list[web.RouteDef]:
    """Build the peer port's route for crash evidence from other daemons."""

    async def take(request: web.Request) -> web.Response:
        try:
            crasher = decode_json(
                await read_request_body(request), SharedCrasher
            )
        except UnreadableError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        merge_crasher(crashers, crasher)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    return [web.post('/crashers', take)]

"""Proof against a request, straight to the other entry daemons."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ragwortcourse.entry.crasher_sync import merge_one
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.messages.shared_crasher import SharedCrasher

PEER_SECONDS: Final = 0.5
PEERS_AT_ONCE: Final = 64
_TIMEOUT: Final = ClientTimeout(total=PEER_SECONDS)

TellCrasher = Callable[[str, SharedCrasher], Awaitable[None]]
TellPeers = Callable[[SharedCrasher], Awaitable[None]]


def build_tell_peers(
    *, tell: TellCrasher, list_addresses: Callable[[], Iterable[str]]
) -> TellPeers:
    """Word to every other entry daemon that is known, some at a time.

    :param list_addresses: their ``ip:port``.
    """

    async def tell_peers(crasher: SharedCrasher) -> None:
        turns = asyncio.Semaphore(PEERS_AT_ONCE)

        async def tell_one(address: str) -> None:
            async with turns:
                await tell(address, crasher)

        await asyncio.gather(*map(tell_one, list_addresses()))

    return tell_peers


def build_http_crashers(*, session: ClientSession) -> TellCrasher:
    """Word to one daemon over HTTP; one that does not hear reads the row."""

    async def tell(address: str, crasher: SharedCrasher) -> None:
        body = msgspec.json.encode(crasher)
        try:
            async with session.post(
                f'http://{address}/crashers', data=body, timeout=_TIMEOUT
            ):
                return
        except (ClientError, TimeoutError, OSError):
            return

    return tell


def build_crasher_routes(*, crashers: CrasherRegistry) -> list[web.RouteDef]:
    """Route of the peers' port for proof from other daemons."""

    async def take(request: web.Request) -> web.Response:
        try:
            crasher = msgspec.json.decode(
                await request.read(), type=SharedCrasher
            )
        except msgspec.MsgspecError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        merge_one(crashers, crasher)
        return web.Response(status=HTTPStatus.NO_CONTENT)

    return [web.post('/crashers', take)]

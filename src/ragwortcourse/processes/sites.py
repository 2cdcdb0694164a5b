"""Listening sockets with their routes."""

from collections.abc import Iterable
from typing import Final

from aiohttp import web

LARGEST_BODY_BYTES: Final = 67_108_864
SHUTDOWN_SECONDS: Final = 30.0


async def open_site(
    *,
    address: str,
    routes: Iterable[web.AbstractRouteDef],
    largest_body: int = LARGEST_BODY_BYTES,
) -> web.AppRunner:
    """A server that answers on ``ip:port`` until its runner is cleaned up.

    :param address: ``ip:port`` to listen on.
    :param largest_body: bytes of a request's body beyond which it is
        refused with 413.
    :raises OSError: the address can't be had.
    """
    application = web.Application(client_max_size=largest_body)
    application.add_routes(routes)
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    host, _, port = address.rpartition(':')
    site = web.TCPSite(runner, host, int(port))
    try:
        await site.start()
    except OSError:
        await runner.cleanup()
        raise
    return runner

"""Listening sockets with their routes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from aiohttp import web

LARGEST_BODY_BYTES: Final = 67_108_864
SHUTDOWN_SECONDS: Final = 30.0


async def open_site(
    *,
    address: str,
    routes: Iterable[web.AbstractRouteDef],
    is_leaving: Callable[[], bool] = bool,
    largest_body: int = LARGEST_BODY_BYTES,
) -> web.AppRunner:
    """A server that answers on ``ip:port`` until its runner is cleaned up.

    :param address: ``ip:port`` to listen on.
    :param is_leaving: while true each answer is the last of its connection,
        so that few are left to be closed under a request on its way.
    :param largest_body: bytes of a request's body beyond which it is
        refused with 413.
    :raises OSError: the address can't be had.
    """
    application = web.Application(client_max_size=largest_body)
    application.add_routes(routes)

    async def end_connection(
        request: web.Request, response: web.StreamResponse
    ) -> None:
        if is_leaving():
            response.force_close()
            response.headers['Connection'] = 'close'

    application.on_response_prepare.append(end_connection)
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


async def end_connections(runner: web.AppRunner) -> None:
    """Close each connection, after the answer to what is under way on it.

    New connections are still taken.
    """
    if runner.server is None:
        return
    # As the runner's own clean-up does, but with the socket still open.
    runner.server.pre_shutdown()
    await asyncio.gather(
        *(
            connection.shutdown(SHUTDOWN_SECONDS)
            for connection in runner.server.connections
        )
    )


async def stop_listening(runner: web.AppRunner) -> None:
    """Take no more connections; those that are open are still served."""
    for site in tuple(runner.sites):
        await site.stop()

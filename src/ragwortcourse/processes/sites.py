"""HTTP servers on one listening socket each."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Final

from aiohttp import web
from aiohttp.typedefs import Handler
from aiohttp.web_protocol import RequestHandler

from ragwortcourse.addresses import split_address
from ragwortcourse.clock import read_clock
from ragwortcourse.ingress.guarded_runner import GuardedRunner
from ragwortcourse.ingress.ingress import Ingress
from ragwortcourse.ingress.request_guard import build_guard

LARGEST_BODY_BYTES: Final = 67_108_864
# Longest line of a head; operators allow callers less in all headers.
LONGEST_LINE_BYTES: Final = 65_536
# Part of a body that waits for its reader; aiohttp reads up to twice as much.
READ_BUFFER_BYTES: Final = 65_536
SHUTDOWN_SECONDS: Final = 30.0
# Answered connections after which those that are closed are forgotten.
CLOSED_KEPT: Final = 256


# Connections on which a request was answered.
SERVED: Final = web.AppKey('SERVED', set[RequestHandler])
# Requests in progress.
RUNNING: Final = web.AppKey('RUNNING', dict[RequestHandler, web.Request])
BODIES_POLL_SECONDS: Final = 0.05


async def open_site(
    *,
    address: str,
    routes: Iterable[web.AbstractRouteDef],
    is_leaving: Callable[[], bool] = bool,
    largest_body: int = LARGEST_BODY_BYTES,
    ingress: Ingress | None = None,
    is_limited: bool = False,
) -> web.AppRunner:
    """Start a server that runs until its runner is cleaned up.

    :param address: ``ip:port`` to listen on.
    :param is_leaving: while true, each answer closes its connection, so that
        few connections are left that could close while a request is on the
        way.
    :param largest_body: greatest size of a request body in bytes; larger
        bodies are refused with 413.
    :param ingress: bounds what clients of this port hold; none for no bounds.
    :param is_limited: true if the limits of the desired state apply.
    :raises OSError: the address cannot be listened on.
    """
    application = web.Application(client_max_size=largest_body)
    application.add_routes(routes)
    application.middlewares.append(_note_running)
    application.middlewares.append(
        build_guard(lambda inner: runner.find_guard(inner))
    )
    served: set[RequestHandler] = set()
    application[SERVED] = served
    application[RUNNING] = {}

    async def end_connection(
        request: web.Request, response: web.StreamResponse
    ) -> None:
        served.add(request.protocol)
        if len(served) % CLOSED_KEPT == 0:
            served.intersection_update(find_connections(runner))
        if is_leaving():
            response.force_close()
            response.headers['Connection'] = 'close'

    application.on_response_prepare.append(end_connection)
    runner = GuardedRunner(
        application,
        ingress=ingress,
        is_limited=is_limited,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
        max_line_size=LONGEST_LINE_BYTES,
        max_field_size=LONGEST_LINE_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
    )
    await runner.setup()
    site = web.TCPSite(runner, *split_address(address))
    try:
        await site.start()
    except OSError:
        await runner.cleanup()
        raise
    return runner


@web.middleware
async def _note_running(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    running = request.app[RUNNING]
    running[request.protocol] = request
    try:
        return await handler(request)
    finally:
        running.pop(request.protocol)


async def end_connections(runner: web.AppRunner) -> None:
    """Close each connection after the answer to its request in progress.

    New connections are still accepted, and one without a request so far stays
    open: its first request is on the way, and its answer ends the connection.
    So does the answer to a request whose body still arrives: a connection that
    is closed here drops the rest.
    """
    used = runner.app.get(SERVED, set()).intersection(find_connections(runner))
    used -= find_arriving(runner)
    # Same as the runner's own clean-up, but with the socket still open.
    for connection in used:
        connection.close()
    await asyncio.gather(*(each.shutdown(SHUTDOWN_SECONDS) for each in used))


async def finish_bodies(runner: web.AppRunner) -> None:
    """Wait until no body is arriving, ``SHUTDOWN_SECONDS`` at most.

    The clean-up of a runner drops what arrives later.
    """
    ends_at = read_clock() + SHUTDOWN_SECONDS
    while find_arriving(runner) and read_clock() < ends_at:  # noqa: ASYNC110
        await asyncio.sleep(BODIES_POLL_SECONDS)


def find_arriving(runner: web.AppRunner) -> set[RequestHandler]:
    """Return the connections on which the body of a request is arriving."""
    running = runner.app.get(RUNNING, {})
    return {
        connection
        for connection, request in running.items()
        if not request.content.is_eof()
    }


def find_connections(runner: web.AppRunner) -> Collection[RequestHandler]:
    """Return the open connections of a server."""
    return () if runner.server is None else runner.server.connections


async def stop_listening(runner: web.AppRunner) -> None:
    """Accept no more connections; open connections are still served."""
    for site in tuple(runner.sites):
        await site.stop()

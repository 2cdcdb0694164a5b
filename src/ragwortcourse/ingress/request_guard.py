"""Middleware and reading of bodies against the budget of the process."""

import asyncio
import contextvars
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware
from aiohttp.web_protocol import RequestHandler

from ragwortcourse.bodies import BodyTooLongError
from ragwortcourse.ingress.connection import Connection, ReadingEndedError
from ragwortcourse.ingress.guarded_protocol import GuardedProtocol
from ragwortcourse.ingress.ingress import note_ended
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.refusals import (
    BODY_TOO_LARGE,
    BUDGET_SPENT,
    HEAD_TOO_LARGE,
    build_refusal,
)

# The pieces of a body, the body itself, and what is sent of it to a target.
BODY_COPIES: Final = 2
# Colon, space and line end of a header line.
_LINE_BYTES: Final = 4
# Spaces, version and line ends of the request line, and the empty line.
_FIRST_LINE_BYTES: Final = 14
# Part of an answer that is written at once.
PIECE_BYTES: Final = 65_536
HEAD: Final = 'HEAD'
EMPTY_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
CURRENT: Final = contextvars.ContextVar[Connection | None](
    'CURRENT', default=None
)


class BodyRefusedError(Exception):
    """The body of a request is not read any further.

    :param response: answer that promises that the request has not run.
    """

    def __init__(self, response: web.Response) -> None:
        super().__init__(response.status)
        self.response = response


def build_guard(
    find: Callable[[RequestHandler], GuardedProtocol | None],
) -> Middleware:
    """Build the middleware that accounts for requests.

    :param find: finds the guard of a connection.
    """

    @web.middleware
    async def guard_request(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        guarded = find(request.protocol)
        connection = None if guarded is None else guarded.connection
        if guarded is None or connection is None:
            return await handler(request)
        head_bytes = measure_head(request)
        guarded.begin_request(request.content)
        CURRENT.set(connection)
        try:
            return await _answer(request, handler, connection, head_bytes)
        except BodyRefusedError as error:
            await _write(request, error.response)
            return error.response
        finally:
            guarded.end_request()

    return guard_request


def measure_head(request: web.Request) -> int:
    """Return the bytes of the request line and all header lines."""
    first = len(request.method) + len(request.raw_path) + _FIRST_LINE_BYTES
    return first + sum(
        len(name) + len(text) + _LINE_BYTES
        for name, text in request.raw_headers
    )


async def read_request_body(
    request: web.Request, *, limit: float = math.inf
) -> bytes:
    """Read the body of a request against the budget of the process.

    Without a guard and a limit the application's own limit holds.

    :param limit: maximum number of bytes, with an answer of the caller's own.
    :raises BodyTooLongError: the body is longer than ``limit``.
    :raises BodyRefusedError: the body is too large or too slow, or there is no
        room for it.
    """
    connection = CURRENT.get()
    if connection is None:
        return await _read_unguarded(request, limit)
    connection.enter(Phase.BODY)
    try:
        async with connection.open_reading():
            body = await _read_pieces(request, connection, limit)
    except ReadingEndedError as error:
        raise BodyRefusedError(build_refusal(connection.cause)) from error
    connection.enter(Phase.RUNNING)
    return body


async def _read_unguarded(request: web.Request, limit: float) -> bytes:
    if limit == math.inf:
        return await request.read()
    body = bytearray()
    async for piece in request.content.iter_any():
        body += piece
        _check_length(body, limit)
    return bytes(body)


def _check_length(body: bytearray, limit: float) -> None:
    if len(body) > limit:
        raise BodyTooLongError(f'body longer than {limit} bytes')


async def _read_pieces(
    request: web.Request, connection: Connection, limit: float
) -> bytes:
    body = bytearray()
    while True:
        piece = await request.content.readany()
        if not piece:
            return bytes(body)
        body += piece
        _check_length(body, limit)
        if len(body) > connection.most_body_bytes:
            raise _refuse(connection, BODY_TOO_LARGE)
        if not connection.hold(len(piece) * BODY_COPIES):
            raise _refuse(connection, connection.cause or BUDGET_SPENT)


def _refuse(connection: Connection, cause: str) -> BodyRefusedError:
    note_ended(cause, connection)
    return BodyRefusedError(build_refusal(cause))


async def _answer(
    request: web.Request,
    handler: Handler,
    connection: Connection,
    head_bytes: int,
) -> web.StreamResponse:
    """Refuse a request beyond a limit, or answer it and hold its answer."""
    if connection.phase is Phase.CLOSING:
        connection.abort()
        return build_refusal(connection.cause)
    cause = None
    if head_bytes > connection.limits.header_bytes:
        cause = HEAD_TOO_LARGE
    elif (request.content_length or 0) > connection.most_body_bytes:
        cause = BODY_TOO_LARGE
    if cause is not None:
        note_ended(cause, connection)
        return build_refusal(cause)
    response = await handler(request)
    if isinstance(response, web.Response):
        # What the client does not take is held until it is written.
        connection.enter(Phase.ANSWER)
        await _write(request, response)
    return response


async def _write(request: web.Request, response: web.Response) -> None:
    """Write a whole answer, unless the client has left."""
    try:
        await _write_pieces(request, response)
    except (ConnectionError, asyncio.CancelledError) as error:
        # The traceback and the future that the writer waited for refer to each
        # other, and would keep the answer until the next garbage collection.
        error.__traceback__ = None
        response.body = None
        # aiohttp notes a client that has left when it ends the response.
        if isinstance(error, asyncio.CancelledError):
            raise


async def _write_pieces(request: web.Request, response: web.Response) -> None:
    """Write an answer in pieces, each once the client took those before.

    aiohttp copies a body that is written whole, and does not wait for the
    client to take it.
    """
    body = response.body
    await response.prepare(request)
    if _is_long(request, response) and isinstance(body, bytes):
        response.body = None
        for begin in range(0, len(body), PIECE_BYTES):
            await request.writer.write(body[begin : begin + PIECE_BYTES])
    await response.write_eof()


def _is_long(request: web.Request, response: web.Response) -> bool:
    if request.method == HEAD or response.status in EMPTY_STATUSES:
        return False
    return (response.content_length or 0) > PIECE_BYTES

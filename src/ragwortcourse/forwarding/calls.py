"""HTTP handlers of the callers' port of a forwarder."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec
from aiohttp import web

from ragwortcourse.broken_answers import show_break
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.call import Call, PermittedCall
from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.forwarding.call_log import (
    note_answered,
    note_broken,
    note_left,
    note_refused,
)
from ragwortcourse.forwarding.call_scopes import ScopeEndedError
from ragwortcourse.forwarding.caller_timeouts import DELIVERY_SECONDS
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.permission import permit_call
from ragwortcourse.forwarding.plain_call import serve_plain
from ragwortcourse.forwarding.reply import (
    STOPPING,
    Refusal,
    Reply,
    WholeAnswer,
)
from ragwortcourse.forwarding.route import Route
from ragwortcourse.forwarding.stream_call import (
    StreamBrokenError,
    StreamCall,
)
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.ingress.request_guard import read_request_body


def build_call_routes(forwarder: Forwarder) -> list[web.RouteDef]:
    """Build the HTTP routes of the callers' port."""

    async def answer_call(request: web.Request) -> web.StreamResponse:
        forwarder.running += 1
        try:
            return await _answer(forwarder, request)
        finally:
            forwarder.running -= 1

    return [web.route('*', '/{path:.*}', answer_call)]


async def _answer(
    forwarder: Forwarder, request: web.Request
) -> web.StreamResponse:
    call = forwarder.wire.read_call(request)
    if forwarder.closing:
        return _write_reply(call, STOPPING)
    permitted = permit_call(forwarder.state, forwarder.fleet, call)
    if isinstance(permitted, Refusal):
        return _write_reply(call, permitted)
    try:
        async with forwarder.open_reading():
            with _watch_caller(request, lambda: note_left(call)):
                body = await read_request_body(request)
    except ScopeEndedError:
        return _write_reply(call, STOPPING)
    if forwarder.closing:
        return _write_reply(call, STOPPING)
    work = _accept(call, *permitted, body)
    tries = Tries(forwarder=forwarder, work=work)
    if read_clock() >= work.deadline:
        return _write_reply(call, tries.run_out())
    suspects = tries.suspects
    admission = forwarder.safeguards.crash_admission
    refusal = admission.check(suspects)
    if refusal is not None:
        return _write_reply(call, refusal)
    with admission.count_running(suspects):
        return await _answer_permitted(tries, request)


async def _answer_permitted(
    tries: Tries, request: web.Request
) -> web.StreamResponse:
    call = tries.work.call
    response: web.StreamResponse | Reply
    try:
        async with (
            asyncio.timeout_at(tries.work.deadline),
            tries.forwarder.open_work(),
        ):
            with _watch_caller(request, lambda: note_left(call, tries)):
                response = await _serve(tries, request)
    except TimeoutError as error:
        end = _explain_end(tries, error)
        if _is_begun(request):
            note_broken(call, end)
            return _abort(request)
        response = tries.failure or end
    except StreamBrokenError as error:
        note_broken(call, error.refusal)
        return _abort(request)
    except OSError as error:
        # The caller closed its connection during a write.
        note_left(call, tries, repr(error))
        return _abort(request)
    if isinstance(response, Refusal):
        return _write_reply(call, response)
    status = (
        response.head.status
        if isinstance(response, WholeAnswer)
        else response.status
    )
    note_answered(tries, status)
    if isinstance(response, WholeAnswer):
        return _write_reply(call, response)
    return response


def _accept(
    call: Call, route: Route, account: Account | None, body: bytes
) -> PermittedCall:
    limit = route.time_limit
    if call.time_left is not None:
        limit = min(limit, call.time_left - DELIVERY_SECONDS)
    return PermittedCall(
        call=call,
        route=route,
        account=account,
        body=body,
        deadline=call.arrived_at + limit,
    )


async def _serve(
    tries: Tries, request: web.Request
) -> web.StreamResponse | Reply:
    if tries.work.route.kind is CallKind.STREAMING:
        return await StreamCall(tries=tries, request=request).serve()
    return await serve_plain(tries)


def _explain_end(tries: Tries, error: TimeoutError) -> Refusal:
    if isinstance(error, ScopeEndedError):
        return tries.give_up(STOPPING)
    return tries.run_out()


def _is_begun(request: web.Request) -> bool:
    writer = request.writer
    return getattr(writer, 'output_size', 0) > 0


@contextlib.contextmanager
def _watch_caller(
    request: web.Request, note: Callable[[], None]
) -> Iterator[None]:
    """Note that the caller left, which cancels the handler."""
    try:
        yield
    except asyncio.CancelledError:
        # Time limits and the end of the daemon cancel handlers, too.
        if request.transport is None:
            note()
        raise


def _abort(request: web.Request) -> web.StreamResponse:
    """Abort the connection so that the answer can't be taken as complete."""
    show_break(request)
    if request.transport is not None:
        request.transport.abort()
    # aiohttp requires a response even after the connection was aborted.
    return web.Response(status=web.HTTPBadGateway.status_code)


def _write_reply(call: Call, reply: Reply) -> web.Response:
    if isinstance(reply, WholeAnswer):
        headers = reply.head.headers.copy()
        headers.popall('Content-Length', None)
        return web.Response(
            status=reply.head.status, headers=headers, body=reply.body
        )
    note_refused(call, reply)
    response = web.Response(
        status=reply.status,
        body=msgspec.json.encode({'error': reply.reason}),
        content_type='application/json',
    )
    if reply.retry_after is not None:
        response.headers['Retry-After'] = f'{reply.retry_after:.2f}'
    return response

"""HTTP interface of the agent for entry daemons."""

import asyncio
import contextlib
from collections.abc import Mapping
from typing import Final

import msgspec
from aiohttp import web

from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.attempt_codec import (
    MILLISECONDS_PER_SECOND,
    AttemptMalformed,
    decode_attempt,
    select_relayed,
)
from ragwortcourse.agent.attempts import bar_attempt, run_attempt
from ragwortcourse.agent.relay import close_body
from ragwortcourse.agent.status import answer_heartbeat
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.messages import headers as names
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
    AttemptOutcome,
    AttemptRefused,
)
from ragwortcourse.messages.error_body import ErrorBody, ErrorDetail
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.messages.peer_port import DaemonPort
from ragwortcourse.unreadable import UnreadableError

DISCONNECT_POLL_SECONDS: Final = 0.25
BAD_REQUEST: Final = 400
JSON: Final = 'application/json'
# With these headers a target could make its answer look like a refusal.
RESERVED: Final = frozenset(
    (
        names.ERROR_CODE,
        names.OUTCOME,
        names.REQUEST_ID,
        names.MODEL_VERSION,
        names.ENGINE_INSTANCE,
    )
)


def build_agent_routes(
    *, agent: Agent, daemon_port: DaemonPort
) -> list[web.RouteDef]:
    """Build the routes that an agent serves to its peers."""
    agent.daemon_port = agent.daemon_port or daemon_port

    async def handle_attempt(request: web.Request) -> web.StreamResponse:
        attempt = decode_attempt(
            AttemptId(request.match_info['attempt']),
            request.headers,
            await read_request_body(request),
        )
        if isinstance(attempt, AttemptMalformed):
            return build_malformed(attempt.detail)
        work = asyncio.create_task(run_attempt(agent, attempt))
        outcome = await wait_while_connected(request, work)
        if isinstance(outcome, AttemptAnswer):
            return await send_answer(request, attempt.attempt, outcome)
        if isinstance(outcome, AttemptRefused):
            return build_refusal(attempt, outcome)
        raise AssertionError(outcome)

    async def handle_bar(request: web.Request) -> web.Response:
        try:
            age = float(request.headers[names.AGE_MS]) / MILLISECONDS_PER_SECOND
        except (KeyError, ValueError):
            return build_malformed(f'header {names.AGE_MS}: milliseconds')
        report = await bar_attempt(
            agent, AttemptId(request.match_info['attempt']), age
        )
        return build_json(report)

    async def handle_status(request: web.Request) -> web.Response:
        try:
            heartbeat = decode_json(await read_request_body(request), Heartbeat)
        except UnreadableError as error:
            return build_malformed(str(error))
        return build_json(await answer_heartbeat(agent, heartbeat))

    return [
        web.post('/attempts/{attempt}', handle_attempt),
        web.post('/attempts/{attempt}/bar', handle_bar),
        web.post('/status', handle_status),
    ]


async def wait_while_connected(
    request: web.Request, work: asyncio.Task[AttemptOutcome]
) -> AttemptOutcome:
    """Return the outcome of the work; cancel the work on disconnect.

    :raises ConnectionResetError: if the entry daemon disconnects first.
    """
    try:
        while not work.done():
            await asyncio.wait([work], timeout=DISCONNECT_POLL_SECONDS)
            if request.transport is None:
                raise ConnectionResetError('the entry daemon disconnected')
        return work.result()
    finally:
        work.cancel()


async def send_answer(
    request: web.Request, attempt: AttemptId, answer: AttemptAnswer
) -> web.StreamResponse:
    """Send an answer; abort the connection if the body is truncated."""
    response = web.StreamResponse(
        status=answer.status, headers=drop_reserved_headers(answer.headers)
    )
    response.headers[names.ATTEMPT_ID] = attempt
    response.headers[names.SPARE] = str(answer.spare)
    response.headers[names.GENERATION] = str(answer.generation)
    if answer.version is not None:
        response.headers[names.MODEL_VERSION] = answer.version
    try:
        await response.prepare(request)
        async for chunk in answer.body:
            await response.write(chunk)
        await response.write_eof()
    except AnswerBrokenError:
        abort_connection(request)
    except ConnectionError:
        # The entry daemon disconnected; closing the body cancels or drains
        # the work.
        pass
    finally:
        await close_body(answer)
    return response


def drop_reserved_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Remove headers that only the agent may set from a target's headers."""
    return {
        name: text
        for name, text in select_relayed(headers).items()
        if name.lower() not in RESERVED
        and not name.lower().startswith(names.OWN_PREFIX)
    }


def abort_connection(request: web.Request) -> None:
    """Abort the connection, so that the peer detects a truncated answer."""
    if request.transport is not None:
        with contextlib.suppress(AttributeError):
            request.transport.abort()


def build_refusal(attempt: Attempt, refused: AttemptRefused) -> web.Response:
    """Build the response to a refused attempt.

    The headers repeat the code and the outcome of the JSON body, so that a
    peer need not parse the body.
    """
    outcome = refused.outcome
    retry_after = outcome.retry_after if isinstance(outcome, NotRun) else None
    detail = ErrorDetail(
        code=outcome.code,
        message=outcome.detail,
        outcome=outcome.kind,
        request=attempt.request,
        retry_after=retry_after,
    )
    response = build_json(ErrorBody(error=detail), status=refused.status)
    response.headers[names.ATTEMPT_ID] = attempt.attempt
    response.headers[names.ERROR_CODE] = outcome.code
    response.headers[names.OUTCOME] = outcome.kind
    response.headers[names.SPARE] = str(refused.spare)
    response.headers[names.GENERATION] = str(refused.generation)
    response.headers[names.SUSPECT] = str(int(refused.suspect))
    if refused.served is not None:
        served = msgspec.json.encode(refused.served)
        response.headers[names.SERVED] = served.decode()
    if retry_after is not None:
        response.headers[names.RETRY_AFTER] = str(retry_after)
    return response


def build_malformed(detail: str) -> web.Response:
    """Build the response to a malformed request, with outcome not run."""
    outcome = NotRun(code='malformed', detail=detail)
    body = ErrorBody(
        error=ErrorDetail(
            code=outcome.code, message=detail, outcome=outcome.kind
        ),
    )
    response = build_json(body, status=BAD_REQUEST)
    response.headers[names.ERROR_CODE] = outcome.code
    response.headers[names.OUTCOME] = outcome.kind
    return response


def build_json(message: msgspec.Struct, *, status: int = 200) -> web.Response:
    """Encode a message as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(message), status=status, content_type=JSON
    )

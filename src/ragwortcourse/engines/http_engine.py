"""HTTP adapter for engines and plain services."""

import dataclasses
import errno
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp
import msgspec
import yarl

from ragwortcourse.bodies import SMALL_BODY_BYTES, read_body
from ragwortcourse.decoding import decode_json
from ragwortcourse.engines.engine import (
    Engine,
    EngineAnswer,
    EngineAnswerLost,
    EngineOrder,
    EngineRequest,
    EngineSilent,
    EngineState,
    EngineUnreached,
    OrderConfirmed,
    OrderOutcome,
    OrderRefused,
    OrderUnknown,
    StartOutcome,
)
from ragwortcourse.engines.http_body import HttpBody
from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    ModelName,
    VersionName,
)
from ragwortcourse.messages import headers as names
from ragwortcourse.unreadable import UnreadableError

CONNECT_TIMEOUT_SECONDS: Final = 2.0
DESCRIBE_TIMEOUT_SECONDS: Final = 1.0
ORDER_TIMEOUT_SECONDS: Final = 30.0

RESUME_FROM: Final = 'x-resume-from'
ADAPTER: Final = 'x-adapter'

OK: Final = 200
NOT_FOUND: Final = 404
SERVER_ERROR: Final = 500
STREAM_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, connect=CONNECT_TIMEOUT_SECONDS
)
DESCRIBE_TIMEOUT: Final = aiohttp.ClientTimeout(total=DESCRIBE_TIMEOUT_SECONDS)
ORDER_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=ORDER_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
)


class OrderRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an engine's answer to an order that it did not follow."""

    detail: str = ''
    stale: bool = False


def build_http_engine(
    *, session: aiohttp.ClientSession, base_url: str
) -> Engine:
    """Build the port to a target at a base URL.

    Each request uses a new connection. The target may close a kept-alive
    connection while a request is sent, and it is then unknown whether the
    request ran; or it may send a second copy of an earlier answer late, and a
    service need not name the request that it answers.

    :param session: session used only for targets, which uses no connection
        twice.
    """
    base = base_url.rstrip('/')

    async def start(request: EngineRequest) -> StartOutcome:
        return await send(session, base, request, encode_headers(request))

    async def resume(request: EngineRequest, sent: int) -> StartOutcome:
        headers = encode_headers(request)
        headers[RESUME_FROM] = str(sent)
        outcome = await send(session, base, request, headers)
        return check_resumed(outcome, sent)

    async def cancel(attempt: AttemptId) -> bool:
        url = yarl.URL(base) / 'attempts' / attempt
        try:
            async with session.delete(url, timeout=DESCRIBE_TIMEOUT) as answer:
                return answer.status < NOT_FOUND
        except (aiohttp.ClientError, TimeoutError):
            return False

    return Engine(
        start=start,
        resume=resume,
        cancel=cancel,
        describe=build_describe(session, base),
        store_chunk=build_store_chunk(session, base),
        order=build_order(session, base),
    )


def build_describe(
    session: aiohttp.ClientSession, base: str
) -> Callable[[], Awaitable[EngineState | EngineSilent]]:
    """Build the call that reads state, versions and load.

    A target that answers with a status other than 200 is alive but does not
    report load, such as a service without that route.
    """

    async def describe() -> EngineState | EngineSilent:
        try:
            async with session.get(
                f'{base}/state', timeout=DESCRIBE_TIMEOUT
            ) as answer:
                if answer.status != OK:
                    return EngineState(
                        instance='', running=0, bearable=None, age=0
                    )
                return decode_json(
                    await read_body(answer, limit=SMALL_BODY_BYTES), EngineState
                )
        except (aiohttp.ClientError, TimeoutError, UnreadableError) as lost:
            return EngineSilent(
                detail=f'{base}/state: {lost!r}', refused=_is_refused(lost)
            )

    return describe


def _is_refused(error: Exception) -> bool:
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.errno == errno.ECONNREFUSED
    )


def build_store_chunk(
    session: aiohttp.ClientSession, base: str
) -> Callable[
    [ModelName, VersionName, AdapterName | None, int, bytes],
    Awaitable[OrderOutcome],
]:
    """Build the call that sends one chunk."""

    async def store_chunk(
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
        index: int,
        chunk: bytes,
    ) -> OrderOutcome:
        url = yarl.URL(base) / 'chunks' / model / version / str(index)
        if adapter is not None:
            url = url.with_query(adapter=adapter)
        return await send_command(session, 'PUT', url, chunk)

    return store_chunk


def build_order(
    session: aiohttp.ClientSession, base: str
) -> Callable[[EngineOrder], Awaitable[OrderOutcome]]:
    """Build the call that sends one order."""

    async def order(given: EngineOrder) -> OrderOutcome:
        body = msgspec.json.encode(dataclasses.asdict(given))
        return await send_command(
            session, 'POST', yarl.URL(f'{base}/orders'), body
        )

    return order


async def send(
    session: aiohttp.ClientSession,
    base: str,
    request: EngineRequest,
    headers: dict[str, str],
) -> StartOutcome:
    """Send a request and read the headers of its answer."""
    try:
        response = await session.request(
            request.method,
            yarl.URL(base + request.path, encoded=True),
            headers=headers,
            data=request.body,
            skip_auto_headers=('user-agent', 'content-type', 'accept'),
            allow_redirects=False,
            auto_decompress=False,
            timeout=STREAM_TIMEOUT,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as no:
        return EngineUnreached(detail=repr(no))
    except (aiohttp.ClientError, ConnectionError, TimeoutError) as lost:
        return EngineAnswerLost(detail=repr(lost))
    return decode_answer(response)


def check_resumed(outcome: StartOutcome, sent: int) -> StartOutcome:
    """Reject an answer that does not resume at the requested offset."""
    if not isinstance(outcome, EngineAnswer):
        return outcome
    if outcome.headers.get(RESUME_FROM) == str(sent):
        return outcome
    if isinstance(outcome.body, HttpBody):
        outcome.body.close()
    return EngineAnswerLost(detail='the target began anew instead of resuming')


def decode_answer(response: aiohttp.ClientResponse) -> EngineAnswer:
    """Build the answer from response headers and an unread body."""
    attempt = response.headers.get(names.REQUEST_ID)
    version = response.headers.get(names.MODEL_VERSION)
    return EngineAnswer(
        status=response.status,
        headers={name.lower(): text for name, text in response.headers.items()},
        attempt=None if attempt is None else AttemptId(attempt),
        version=None if version is None else VersionName(version),
        body=HttpBody(response=response),
        instance=response.headers.get(names.ENGINE_INSTANCE),
    )


def encode_headers(request: EngineRequest) -> dict[str, str]:
    """Build the headers of a request to the target."""
    headers = {**request.headers}
    headers[names.REQUEST_ID] = request.attempt
    headers[names.PRIORITY] = str(request.priority)
    headers['accept-encoding'] = 'identity'
    headers['connection'] = 'close'
    if request.version is not None:
        headers[names.MODEL_VERSION] = request.version
    if request.adapter is not None:
        headers[ADAPTER] = request.adapter
    return headers


async def send_command(
    session: aiohttp.ClientSession, method: str, url: yarl.URL, body: bytes
) -> OrderOutcome:
    """Send a command to the engine and return the outcome."""
    try:
        async with session.request(
            method, url, data=body, timeout=ORDER_TIMEOUT
        ) as answer:
            return decode_order(
                answer.status, await read_body(answer, limit=SMALL_BODY_BYTES)
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as no:
        return OrderRefused(detail=repr(no))
    except (aiohttp.ClientError, ConnectionError, TimeoutError) as lost:
        return OrderUnknown(detail=repr(lost))


def decode_order(status: int, body: bytes) -> OrderOutcome:
    """Decode an engine's answer to an order."""
    if status == OK:
        return OrderConfirmed()
    if status >= SERVER_ERROR:
        return OrderUnknown(detail=f'status {status}')
    try:
        refusal = decode_json(body, OrderRefusal)
    except UnreadableError:
        return OrderRefused(detail=f'status {status}')
    return OrderRefused(detail=refusal.detail, stale=refusal.stale)

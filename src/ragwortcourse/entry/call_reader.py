"""Parses HTTP requests of callers into calls."""

import dataclasses
import math
from typing import Final

from aiohttp import ClientError, web

from ragwortcourse.bodies import BodyTooLongError
from ragwortcourse.entry import errors
from ragwortcourse.identifiers import (
    DeploymentName,
    IdempotencyKey,
    RequestId,
)
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.messages import headers
from ragwortcourse.messages.call import Call
from ragwortcourse.messages.outcome import NotRun

BODY_LIMIT_BYTES: Final = 4_194_304
DEFAULT_DEADLINE_SECONDS: Final = 60.0
LONGEST_DEADLINE_SECONDS: Final = 3600.0
SERVICE_PARTS: Final = 3
KEY_LENGTH: Final = 255
PRIORITY_RANGE: Final = 100
_MILLISECONDS: Final = 1000
_BEARER: Final = 'bearer '
HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_OWN_HEADERS: Final = frozenset(
    (
        'authorization',
        'x-api-key',
        headers.DEADLINE_MS,
        headers.PRIORITY,
        headers.IDEMPOTENT_MARK,
        headers.REQUEST_ID,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BadCall:
    """A request that is malformed or too large."""

    refusal: NotRun


class CallFormatError(Exception):
    """A request header has an invalid value."""


class BodyTooLargeError(Exception):
    """A request body exceeds ``BODY_LIMIT_BYTES``."""


async def read_call(
    request: web.Request, name: RequestId, service: DeploymentName | None
) -> Call | BadCall:
    """Parse a request into a call, or say what is wrong with the request."""
    try:
        body = await _read_body(request)
    except BodyTooLargeError:
        return _refuse(
            errors.BODY_TOO_LARGE,
            f'The body has more than {BODY_LIMIT_BYTES} bytes.',
        )
    except (web.RequestPayloadError, ClientError, OSError) as error:
        return _refuse(errors.BAD_REQUEST, f'The body was cut: {error!r}.')
    try:
        return _build_call(request, name, service, body)
    except CallFormatError as error:
        return _refuse(errors.BAD_REQUEST, str(error))


async def _read_body(request: web.Request) -> bytes:
    if (request.content_length or 0) > BODY_LIMIT_BYTES:
        raise BodyTooLargeError
    try:
        return await read_request_body(request, limit=BODY_LIMIT_BYTES)
    except BodyTooLongError as error:
        raise BodyTooLargeError from error


def _refuse(code: str, detail: str) -> BadCall:
    return BadCall(refusal=NotRun(code=code, detail=detail))


def _build_call(
    request: web.Request,
    name: RequestId,
    service: DeploymentName | None,
    body: bytes,
) -> Call:
    path = request.path if service is None else _read_path(request)
    return Call(
        request=name,
        api_key=_read_api_key(request),
        deployment=service,
        method=request.method,
        path=path,
        headers=_read_headers(request),
        body=body,
        time_left=_read_deadline(request),
        priority=_read_priority(request),
        idempotency_key=_read_key(request),
        idempotent=_read_mark(request),
    )


def _read_path(request: web.Request) -> str:
    raw = request.raw_path
    if not raw.startswith('/'):
        raw = request.rel_url.raw_path_qs
    path, mark, query = raw.partition('?')
    # The parts are '', 'services', the service's name and the remaining path,
    # which is forwarded with the caller's own escapes.
    parts = path.split('/', SERVICE_PARTS)
    tail = parts[SERVICE_PARTS] if len(parts) > SERVICE_PARTS else ''
    return f'/{tail}{mark}{query}'


def _read_api_key(request: web.Request) -> str | None:
    authorization = request.headers.get('authorization', '')
    if authorization.lower().startswith(_BEARER):
        return authorization[len(_BEARER) :].strip()
    return request.headers.get('x-api-key')


def _read_headers(request: web.Request) -> dict[str, str]:
    dropped = HOP_HEADERS | _OWN_HEADERS
    return {
        field.lower(): content
        for field, content in request.headers.items()
        if field.lower() not in dropped
        and not field.lower().startswith(headers.OWN_PREFIX)
    }


def _read_deadline(request: web.Request) -> float:
    raw = request.headers.get(headers.DEADLINE_MS)
    if raw is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(raw) / _MILLISECONDS
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= LONGEST_DEADLINE_SECONDS:
        raise CallFormatError(
            f'{headers.DEADLINE_MS} is {raw!r}; it must be a number of'
            ' milliseconds above 0 and at most'
            f' {LONGEST_DEADLINE_SECONDS * _MILLISECONDS:.0f}.'
        )
    return seconds


def _read_priority(request: web.Request) -> int:
    raw = request.headers.get(headers.PRIORITY, '0')
    try:
        priority = int(raw)
    except ValueError:
        priority = PRIORITY_RANGE + 1
    if abs(priority) > PRIORITY_RANGE:
        raise CallFormatError(
            f'{headers.PRIORITY} is {raw!r}; it must be a whole number from'
            f' -{PRIORITY_RANGE} to {PRIORITY_RANGE}.'
        )
    return priority


def _read_key(request: web.Request) -> IdempotencyKey | None:
    raw = request.headers.get(headers.IDEMPOTENCY_KEY)
    if raw is None:
        return None
    if not raw or len(raw) > KEY_LENGTH:
        raise CallFormatError(
            f'{headers.IDEMPOTENCY_KEY} must have 1 to {KEY_LENGTH}'
            f' characters, it has {len(raw)}.'
        )
    return IdempotencyKey(raw)


def _read_mark(request: web.Request) -> bool:
    raw = request.headers.get(headers.IDEMPOTENT_MARK, 'true').lower()
    if raw not in {'true', 'false'}:
        raise CallFormatError(
            f'{headers.IDEMPOTENT_MARK} is {raw!r}; it must be true or false.'
        )
    return raw == 'true'

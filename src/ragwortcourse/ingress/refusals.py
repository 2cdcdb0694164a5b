"""Answers to clients beyond a bound, by cause.

All of these promise that the request has not run.
"""

import functools
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web

RETRY_AFTER_SECONDS: Final = 1
IDLE: Final = 'idle'
GONE: Final = 'closed by the client'
HEAD_LATE: Final = 'head not complete in time'
HEAD_TOO_LARGE: Final = 'head too large'
BODY_LATE: Final = 'body without progress'
BODY_LEFT: Final = 'rest of a body'
BODY_TOO_LARGE: Final = 'body too large'
OVERHEAD_TOO_LARGE: Final = 'bytes beside the body'
BUDGET_SPENT: Final = 'budget of bytes spent'
DESCRIPTORS_USED: Final = 'descriptors used'
STATUSES: Final = {
    HEAD_LATE: HTTPStatus.REQUEST_TIMEOUT,
    BODY_LATE: HTTPStatus.REQUEST_TIMEOUT,
    HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    OVERHEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


def find_status(cause: str) -> HTTPStatus:
    """Find the status that tells a cause."""
    return STATUSES.get(cause, HTTPStatus.SERVICE_UNAVAILABLE)


def build_refusal(cause: str) -> web.Response:
    """Build the answer of a handler; it ends the connection."""
    status = find_status(cause)
    response = web.Response(
        status=status,
        body=msgspec.json.encode({'error': cause}),
        content_type='application/json',
    )
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers['Retry-After'] = str(RETRY_AFTER_SECONDS)
    response.headers['Connection'] = 'close'
    response.force_close()
    return response


@functools.cache
def write_refusal(cause: str) -> bytes:
    """Write the answer to a head that no handler gets."""
    status = find_status(cause)
    lines = [
        f'HTTP/1.1 {status.value} {status.phrase}',
        'Content-Length: 0',
        'Connection: close',
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f'Retry-After: {RETRY_AFTER_SECONDS}')
    return '\r\n'.join((*lines, '', '')).encode()

"""Writes answers and errors to callers."""

import contextlib
import math
from typing import Final

import msgspec
from aiohttp import web

from ragwortcourse.broken_answers import show_break
from ragwortcourse.entry import errors
from ragwortcourse.entry.answer_body import close_body
from ragwortcourse.entry.call_reader import HOP_HEADERS
from ragwortcourse.entry.dispatch import WHOLE_ANSWER_BYTES
from ragwortcourse.messages import headers
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.call import CallAnswer, CallError
from ragwortcourse.messages.error_body import ErrorBody, ErrorDetail
from ragwortcourse.messages.outcome import OutcomeKind

EVENT_STREAM: Final = 'text/event-stream'


async def write_error(
    request: web.Request, error: CallError
) -> web.StreamResponse:
    """Answer with an error: its code, its outcome and ``Retry-After``."""
    detail = error.error
    fields = {
        headers.ERROR_CODE: detail.code,
        headers.OUTCOME: detail.outcome.value,
    }
    if detail.request is not None:
        fields[headers.REQUEST_ID] = detail.request
    if detail.retry_after is not None:
        fields[headers.RETRY_AFTER] = str(math.ceil(detail.retry_after))
    return web.Response(
        status=error.status,
        headers=fields,
        body=msgspec.json.encode(ErrorBody(error=detail)),
        content_type='application/json',
    )


async def write_answer(
    request: web.Request, answer: CallAnswer
) -> web.StreamResponse:
    """Relay an answer, so that a caller can detect a truncated body.

    If the target's answer breaks, the connection is closed before the end
    of the HTTP message. An event stream gets an ``error`` event before that.
    """
    response = web.StreamResponse(
        status=answer.status, headers=_read_fields(answer)
    )
    length = answer.headers.get('content-length', '')
    if length.isdecimal():
        response.content_length = int(length)
    try:
        await response.prepare(request)
        async for chunk in answer.body:
            await response.write(chunk)
        await response.write_eof()
    except AnswerBrokenError:
        await _abort_answer(request, response, answer)
    except OSError:
        # The caller has disconnected, so no error can be sent.
        pass
    finally:
        await close_body(answer.body)
    return response


def _read_fields(answer: CallAnswer) -> dict[str, str]:
    fields = {
        name: content
        for name, content in answer.headers.items()
        if name not in HOP_HEADERS and name != headers.REQUEST_ID
    }
    fields[headers.REQUEST_ID] = answer.request
    if answer.version is not None:
        fields[headers.MODEL_VERSION] = answer.version
    length = answer.headers.get('content-length', '')
    if length.isdecimal() and int(length) <= WHOLE_ANSWER_BYTES:
        # A body of this size was read completely before the answer started.
        fields[headers.OUTCOME] = OutcomeKind.COMPLETED.value
    return fields


async def _abort_answer(
    request: web.Request, response: web.StreamResponse, answer: CallAnswer
) -> None:
    if EVENT_STREAM in answer.headers.get('content-type', ''):
        detail = ErrorDetail(
            code=errors.ANSWER_BROKEN,
            message='The stream broke before its end.',
            outcome=OutcomeKind.UNKNOWN,
            request=answer.request,
        )
        event = msgspec.json.encode(ErrorBody(error=detail))
        with contextlib.suppress(OSError):
            await response.write(b'\n\nevent: error\ndata: %b\n\n' % event)
    show_break(request)
    if request.transport is not None:
        request.transport.close()

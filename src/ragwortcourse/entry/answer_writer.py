"""Writing of answers and errors to callers."""

import contextlib
import math
from typing import Final

import msgspec
from aiohttp import web

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
    """Answer with an error, its outcome and when to come back."""
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
    """Relay an answer; one that ends short never looks whole.

    A stream of events ends with a stated error, then the connection is
    closed before the end of the message; any other body is just cut.
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
        await _break_off(request, response, answer)
    except OSError:
        # The caller has left; nobody is there to be told.
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
        # The whole body is here already.
        fields[headers.OUTCOME] = OutcomeKind.COMPLETED.value
    return fields


async def _break_off(
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
    if request.transport is not None:
        request.transport.close()

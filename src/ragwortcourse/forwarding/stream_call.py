"""Streams of events, passed on as they arrive."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.event_buffer import EventBuffer
from ragwortcourse.forwarding.exchange import AnswerCutError
from ragwortcourse.forwarding.reply import Reason, Refusal, WholeAnswer
from ragwortcourse.forwarding.tries import OpenTry, Tries

# A stream that says nothing for this long goes on elsewhere, if it may.
STALL_SECONDS: Final = 1.0


class StreamBrokenError(Exception):
    """A stream that the caller has begun to read can't be ended."""


async def serve_stream(
    tries: Tries, request: web.Request
) -> web.StreamResponse | Refusal | WholeAnswer:
    """Pass the events of one or more targets on.

    Nothing is sent before the first whole event, so that an early failure
    still has a status.

    :raises StreamBrokenError: the caller has part of the stream.
    """
    events = EventBuffer(last_event=tries.work.call.last_event)
    response: web.StreamResponse | None = None
    while True:
        opened = await _open(tries, events)
        if isinstance(opened, Refusal):
            if response is None:
                return opened
            raise StreamBrokenError(opened.reason)
        try:
            if not opened.answer.head.is_success:
                failed = await _read_failure(opened)
                if response is None:
                    return failed
                raise StreamBrokenError(f'status {failed.head.status}')
            async for whole in _read_events(tries, opened, events):
                if response is None:
                    opened.load.note_success(read_clock() - opened.began_at)
                    response = await _begin(request, opened)
                await response.write(whole)
        except (AnswerCutError, TimeoutError) as error:
            events.drop_rest()
            tries.fail(opened, repr(error))
            if tries.allows_another():
                continue
            if response is None:
                return Refusal(status=502, reason=Reason.FAILED)
            raise StreamBrokenError('no further try') from error
        finally:
            tries.end(opened)
        if response is None:
            response = await _begin(request, opened)
        await response.write_eof()
        return response


async def _open(tries: Tries, events: EventBuffer) -> OpenTry | Refusal:
    if not tries.work.route.may_repeat:
        return await tries.open(events.last_event)
    while True:
        limit = max(STALL_SECONDS, tries.work.route.objective)
        try:
            async with asyncio.timeout(limit):
                return await tries.open(events.last_event)
        except TimeoutError:
            if not tries.allows_another():
                return Refusal(status=502, reason=Reason.FAILED)


async def _read_events(
    tries: Tries, opened: OpenTry, events: EventBuffer
) -> AsyncIterator[bytes]:
    """Whole events, until the target ended the stream in good order.

    :raises AnswerCutError: it ended in the middle of an event, or broke.
    :raises TimeoutError: it says nothing, and another one may go on.
    """
    pieces = opened.answer.read_pieces()
    while True:
        limit = STALL_SECONDS if tries.allows_another() else None
        try:
            async with asyncio.timeout(limit):
                piece = await anext(pieces)
        except StopAsyncIteration:
            break
        opened.load.note_sign(read_clock())
        opened.note_started()
        whole = events.add(piece)
        if whole:
            yield whole
    if events.has_rest:
        raise AnswerCutError('ended inside an event')


async def _read_failure(opened: OpenTry) -> WholeAnswer:
    """Answer of a target that did not begin a stream.

    :raises AnswerCutError: it is not whole.
    """
    pieces = [piece async for piece in opened.answer.read_pieces()]
    return WholeAnswer(head=opened.answer.head, body=b''.join(pieces))


async def _begin(request: web.Request, opened: OpenTry) -> web.StreamResponse:
    head = opened.answer.head
    response = web.StreamResponse(status=head.status, headers=head.headers)
    response.headers.popall('Content-Length', None)
    await response.prepare(request)
    return response

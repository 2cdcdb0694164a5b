"""Streams of events that are passed on as they arrive."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.event_buffer import EventBuffer
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Reason, Refusal, WholeAnswer
from ragwortcourse.forwarding.tries import Tries

# A stream without data for this long continues at another target if the route
# allows that.
STALL_SECONDS: Final = 1.0
# A target that does not begin its answer for this long is given up. Callers
# disconnect after some seconds without an event, and the next target needs
# time too.
SILENT_SECONDS: Final = 1.2


class StreamBrokenError(Exception):
    """A stream can't be completed after the caller got its first events."""


class StreamCall:
    """Stream that may be continued by one target after another.

    The response begins with the first whole event, so that an earlier failure
    still gets an HTTP status of its own.
    """

    def __init__(self, *, tries: Tries, request: web.Request) -> None:
        self._tries = tries
        self._request = request
        self._events = EventBuffer(
            last_event=tries.work.call.last_event,
            resumed=tries.work.route.may_repeat,
        )
        self._response: web.StreamResponse | None = None

    async def serve(self) -> web.StreamResponse | Refusal | WholeAnswer:
        """Relay the stream, from another target after each failure.

        :raises StreamBrokenError: no target may continue the stream, and the
            caller has part of it.
        """
        while True:
            opened = await self._open()
            if isinstance(opened, Refusal):
                return self._give_up(opened)
            try:
                return await self._relay(opened)
            except AnswerCutError as error:
                self._fail(opened, error, error.cause)
            except TimeoutError as error:
                self._fail(opened, error, LossCause.SILENCE)
            finally:
                self._tries.end(opened)
            if not self._tries.allows_another():
                return self._give_up(Refusal(reason=Reason.FAILED))

    def _fail(
        self, opened: OpenTry, error: Exception, cause: LossCause
    ) -> None:
        self._events.drop_rest()
        self._tries.fail(opened, repr(error), cause)

    def _give_up(self, refusal: Refusal) -> Refusal:
        if self._response is None:
            return refusal
        raise StreamBrokenError(refusal.reason)

    async def _open(self) -> OpenTry | Refusal:
        may_repeat = self._tries.work.route.may_repeat
        return await self._tries.open(
            self._events.last_event, SILENT_SECONDS if may_repeat else None
        )

    async def _relay(
        self, opened: OpenTry
    ) -> web.StreamResponse | Refusal | WholeAnswer:
        if not opened.answer.head.is_success:
            body = await opened.answer.read_whole()
            self._tries.crashes.note_answered(
                success=False, framed=opened.answer.is_framed
            )
            if self._response is None:
                return WholeAnswer(head=opened.answer.head, body=body)
            return self._give_up(Refusal(reason=Reason.FAILED))
        self._events.begin_answer(opened.answer.head)
        async for whole in self._read_events(opened):
            response = await self._begin(opened)
            await response.write(whole)
        self._tries.crashes.note_answered(
            success=True, framed=opened.answer.is_framed
        )
        response = await self._begin(opened)
        await response.write_eof()
        return response

    async def _read_events(self, opened: OpenTry) -> AsyncIterator[bytes]:
        """Yield whole events until the target ends the stream.

        :raises AnswerCutError: the stream was cut, ended inside an event, has
            an event that is too long, or can't continue what the caller has.
        :raises TimeoutError: no data arrived in time, and another target may
            continue the stream.
        """
        pieces = opened.answer.read_pieces()
        while True:
            limit = STALL_SECONDS if self._tries.allows_another() else None
            try:
                async with asyncio.timeout(limit):
                    piece = await anext(pieces)
            except StopAsyncIteration:
                break
            opened.note_piece(read_clock())
            self._tries.crashes.note_written()
            whole = self._events.add(piece)
            if whole:
                yield whole
        self._events.end_answer()

    async def _begin(self, opened: OpenTry) -> web.StreamResponse:
        """Begin the response with the headers of the first target, once."""
        if self._response is None:
            opened.load.note_success(read_clock() - opened.began_at)
            head = opened.answer.head
            response = web.StreamResponse(
                status=head.status, headers=head.headers
            )
            response.headers.popall('Content-Length', None)
            await response.prepare(self._request)
            self._tries.first_at = read_clock()
            self._response = response
        return self._response

"""Streams of events, passed on as they arrive."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.event_buffer import EventBuffer
from ragwortcourse.forwarding.exchange import AnswerCutError
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Reason, Refusal, WholeAnswer
from ragwortcourse.forwarding.tries import Tries

# A stream that says nothing for this long goes on elsewhere, if it may.
STALL_SECONDS: Final = 1.0
# A target that does not begin for this long is given up. Callers leave after
# some seconds without an event, and the next target needs time too.
SILENT_SECONDS: Final = 1.2


class StreamBrokenError(Exception):
    """A stream that the caller has begun to read can't be ended."""


class StreamCall:
    """One stream: what the caller has of it, and who goes on with it.

    Nothing is sent before the first whole event, so that an early failure
    still has a status.
    """

    def __init__(self, *, tries: Tries, request: web.Request) -> None:
        self._tries = tries
        self._request = request
        self._events = EventBuffer(last_event=tries.work.call.last_event)
        self._response: web.StreamResponse | None = None

    async def serve(self) -> web.StreamResponse | Refusal | WholeAnswer:
        """Pass the events of one target after the other on.

        :raises StreamBrokenError: the caller has part of the stream.
        """
        while True:
            opened = await self._open()
            if isinstance(opened, Refusal):
                return self._give_up(opened)
            try:
                return await self._relay(opened)
            except (AnswerCutError, TimeoutError) as error:
                self._events.drop_rest()
                self._tries.fail(opened, repr(error))
            finally:
                self._tries.end(opened)
            if not self._tries.allows_another():
                return self._give_up(Refusal(reason=Reason.FAILED))

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
            pieces = [piece async for piece in opened.answer.read_pieces()]
            if self._response is None:
                return WholeAnswer(
                    head=opened.answer.head, body=b''.join(pieces)
                )
            return self._give_up(Refusal(reason=Reason.FAILED))
        async for whole in self._read_events(opened):
            response = await self._begin(opened)
            await response.write(whole)
        response = await self._begin(opened)
        await response.write_eof()
        return response

    async def _read_events(self, opened: OpenTry) -> AsyncIterator[bytes]:
        """Whole events, until the target ended the stream in good order.

        :raises AnswerCutError: it ended in the middle of an event, or broke.
        :raises TimeoutError: it says nothing, and another one may go on.
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
            whole = self._events.add(piece)
            if whole:
                yield whole
        if self._events.has_rest:
            raise AnswerCutError('ended inside an event')

    async def _begin(self, opened: OpenTry) -> web.StreamResponse:
        """The caller's response, with the headers of the first target."""
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

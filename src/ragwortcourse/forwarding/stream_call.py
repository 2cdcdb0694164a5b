"""Streams of events that are passed on as they arrive."""

import enum
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.event_buffer import EventBuffer
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Refusal, WholeAnswer
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.tries_end import TriesEnd
from ragwortcourse.forwarding.try_lane import TryLane
from ragwortcourse.forwarding.try_race import TryRace
from ragwortcourse.ingress.answers import write_events

# One more target is asked if a stream is without an event for this long and
# the route allows that.
STALL_SECONDS: Final = 1.0
# The same before its first event. Callers disconnect after some seconds
# without one, and the next target needs time too.
SILENT_SECONDS: Final = 1.2


class StreamBrokenError(Exception):
    """A stream can't be completed after the caller got its first events.

    :param refusal: why no target continues the stream.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class StreamEnd(enum.Enum):
    """End of the answer of one target."""

    # The target ended the stream in order.
    WHOLE = 'whole'
    # The answer was cut, or is no answer to the request.
    LOST = 'lost'


LaneEnd = StreamEnd | WholeAnswer | Refusal | TriesEnd
Served = web.StreamResponse | Refusal | WholeAnswer


class StreamCall:
    """Stream that may be continued by one target after another.

    The response begins with the first whole event, so that an earlier failure
    still gets an HTTP status of its own.
    """

    def __init__(self, *, tries: Tries, request: web.Request) -> None:
        self._tries = tries
        self._request = request
        self._last_event = tries.work.call.last_event
        self._response: web.StreamResponse | None = None
        self._first: AnswerHead | None = None
        self._race = TryRace(
            tries=tries, run=self._run, choose_patience=self._choose_patience
        )

    async def serve(self) -> Served:
        """Relay the stream, from another target after each failure.

        :raises TimeoutError: the deadline of the request has passed, or its
            caller is about to leave.
        :raises StreamBrokenError: no target may continue the stream, and the
            caller has part of it.
        """
        async with self._race.keep_deadline():
            self._race.start()
            while True:
                lane, end = await self._race.wait_end()
                served = await self._take_end(lane, end)
                if served is not None:
                    return served

    async def _take_end(self, lane: TryLane, end: LaneEnd) -> Served | None:
        """Take the end of a lane; return what ends the call."""
        if end is StreamEnd.WHOLE and self._response is not None:
            await self._response.write_eof()
            return self._response
        if isinstance(end, WholeAnswer):
            self._tries.failure = end
        if not self._race.is_empty:
            # Another target still has the request.
            return None
        if isinstance(end, WholeAnswer) and self._response is None:
            return end
        if isinstance(end, Refusal | TriesEnd) and not lane.silent:
            return self._give_up(end)
        ended_by = self._tries.find_end()
        if ended_by is not None:
            return self._give_up(ended_by)
        self._race.start()
        return None

    def _give_up(self, cause: Refusal | TriesEnd) -> Refusal | WholeAnswer:
        refusal = self._tries.give_up(cause)
        if self._response is not None:
            raise StreamBrokenError(refusal)
        return self._tries.failure or refusal

    def _choose_patience(self) -> float:
        return SILENT_SECONDS if self._response is None else STALL_SECONDS

    async def _run(self, lane: TryLane) -> LaneEnd:
        """Relay the stream from the target of one lane to its end."""
        events = EventBuffer(
            last_event=self._last_event,
            resumed=self._tries.work.route.may_repeat,
            first=self._first,
        )
        opened = await lane.open(events.last_event)
        if opened is None:
            return StreamEnd.LOST
        if not isinstance(opened, OpenTry):
            return opened
        try:
            return await self._relay(lane, opened, events)
        except AnswerCutError as error:
            lane.fail(opened, repr(error), error.cause)
            return StreamEnd.LOST
        finally:
            lane.end(opened)

    async def _relay(
        self, lane: TryLane, opened: OpenTry, events: EventBuffer
    ) -> LaneEnd:
        answer = opened.answer
        if not answer.head.is_success:
            body = await answer.read_whole()
            lane.crashes.note_answered(success=False, framed=answer.is_framed)
            return WholeAnswer(head=answer.head, body=body)
        events.check_head(answer.head)
        async for whole in _read_events(lane, opened, events):
            self._race.claim(lane)
            with lane.pass_on():
                response = await self._begin(opened)
                await write_events(self._request, response, whole)
            self._last_event = events.last_event
            lane.patience = self._choose_patience()
        lane.crashes.note_answered(success=True, framed=answer.is_framed)
        self._race.claim(lane)
        await self._begin(opened)
        return StreamEnd.WHOLE

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
            self._tries.history.first_at = read_clock()
            self._response = response
            self._first = head
        return self._response


async def _read_events(
    lane: TryLane, opened: OpenTry, events: EventBuffer
) -> AsyncIterator[bytes]:
    """Yield whole events until the target ends the stream.

    :raises AnswerCutError: the stream was cut, ended inside an event, has an
        event that is too long, or can't continue what the caller has.
    """
    async for piece in opened.answer.read_pieces():
        opened.note_piece(read_clock())
        lane.crashes.note_written()
        whole = events.add(piece)
        if whole:
            yield whole
    events.check_end()

"""Reassembly of whole events from the pieces of a stream."""

from typing import Final

from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.stream_continuation import (
    EVENT_END,
    EVENT_ID,
    find_event_fault,
    find_head_fault,
    find_repeated_event,
)

# Longest event. An event holds some tokens.
EVENT_BYTES: Final = 262_144


class EventBuffer:
    """Buffer of the events of one answer that holds back an incomplete one.

    :param last_event: id of the last whole event that was returned.
    :param resumed: true if the caller has the events up to that one, so that
        the answer may not repeat them.
    :param first: head of the answer that began the stream, which this one
        continues; none if this one begins it.
    """

    def __init__(
        self,
        *,
        last_event: str | None,
        resumed: bool = False,
        first: AnswerHead | None = None,
    ) -> None:
        self.last_event = last_event
        self._resumed_after = last_event if resumed else None
        self._first = first
        self._rest = bytearray()
        self._has_events = False

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event is held back."""
        return bool(self._rest)

    def check_head(self, head: AnswerHead) -> None:
        """Check the head of the answer.

        :raises AnswerCutError: the answer can't continue the stream.
        """
        if self._first is not None:
            _check(find_head_fault(self._first, head, self.last_event))

    def add(self, piece: bytes) -> bytes:
        """Add a piece and return all whole events, unchanged.

        :raises AnswerCutError: the incomplete event is longer than
            ``EVENT_BYTES``, the events can't continue the stream, or the
            caller has one of them.
        """
        # Only the end of an event may begin in the bytes searched before.
        searched = max(len(self._rest) - len(EVENT_END) + 1, 0)
        self._rest += piece
        end = self._rest.rfind(EVENT_END, searched)
        if end < 0:
            self._check_length()
            return b''
        end += len(EVENT_END)
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        self._check_length()
        if self._first is None:
            _check(find_repeated_event(whole, self._resumed_after))
        else:
            _check(find_event_fault(whole, self.last_event))
        self._has_events = True
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event = ids[-1].decode('latin-1')
        return whole

    def check_end(self) -> None:
        """Check the end of the answer.

        :raises AnswerCutError: the body ended inside an event, or continued
            the stream with no event.
        """
        if self.has_rest:
            raise AnswerCutError('ended inside an event')
        if self._first is not None and not self._has_events:
            _check('stream continued with no event')

    def drop_rest(self) -> None:
        """Discard the incomplete event."""
        self._rest.clear()

    def _check_length(self) -> None:
        if len(self._rest) > EVENT_BYTES:
            raise AnswerCutError(
                f'event longer than {EVENT_BYTES} bytes',
                cause=LossCause.INVALID,
            )


def _check(fault: str | None) -> None:
    if fault is not None:
        raise AnswerCutError(fault, cause=LossCause.INVALID)

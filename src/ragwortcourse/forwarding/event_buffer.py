"""Reassembly of whole events from the pieces of a stream."""

import re
from typing import Final

from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.loss_cause import LossCause

# Longest event. An event holds some tokens.
EVENT_BYTES: Final = 262_144
EVENT_END: Final = b'\n\n'
EVENT_ID: Final = re.compile(rb'^id: ?([^\r\n]*)$', re.MULTILINE)


class EventBuffer:
    """Buffer that holds back an incomplete event.

    :param last_event: id of the last whole event that was returned.
    """

    def __init__(self, *, last_event: str | None) -> None:
        self.last_event = last_event
        self._rest = bytearray()

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event is held back."""
        return bool(self._rest)

    def add(self, piece: bytes) -> bytes:
        """Add a piece and return all whole events, unchanged.

        :raises AnswerCutError: the incomplete event is longer than
            ``EVENT_BYTES``.
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
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event = ids[-1].decode('latin-1')
        return whole

    def drop_rest(self) -> None:
        """Discard the incomplete event."""
        self._rest.clear()

    def _check_length(self) -> None:
        if len(self._rest) > EVENT_BYTES:
            raise AnswerCutError(
                f'event longer than {EVENT_BYTES} bytes',
                cause=LossCause.INVALID,
            )

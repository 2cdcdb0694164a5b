"""Reassembly of whole events from the pieces of a stream."""

import re
from typing import Final

EVENT_END: Final = b'\n\n'
EVENT_ID: Final = re.compile(rb'^id: ?([^\r\n]*)$', re.MULTILINE)


class EventBuffer:
    """Buffer that holds back an incomplete event.

    :param last_event: id of the last whole event that was returned.
    """

    def __init__(self, *, last_event: str | None) -> None:
        self.last_event = last_event
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event is held back."""
        return bool(self._rest)

    def add(self, piece: bytes) -> bytes:
        """Add a piece and return all whole events, unchanged."""
        text = self._rest + piece
        end = text.rfind(EVENT_END)
        if end < 0:
            self._rest = text
            return b''
        end += len(EVENT_END)
        whole = text[:end]
        self._rest = text[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event = ids[-1].decode('latin-1')
        return whole

    def drop_rest(self) -> None:
        """Discard the incomplete event."""
        self._rest = b''

"""Progress of the relay of one answer."""

import dataclasses
from typing import Final

from ragwortcourse.bodies import is_framed
from ragwortcourse.engines.engine import EngineAnswer

STREAM_END: Final = b'data: [DONE]'
# An event ends with an empty line, after any of these line ends.
EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n', b'\r\r')
TAIL_BYTES: Final = 24


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class RelayProgress:
    """Progress of the relay of one answer.

    :param sent: body bytes relayed.
    :param sent_before: body bytes relayed when the answer was resumed.
    :param length: body bytes of the whole answer; none if not known.
    :param tail: the last ``TAIL_BYTES`` of the body, kept for streams only.
    :param resumes: number of resumptions attempted.
    """

    answer: EngineAnswer
    sent: int = 0
    sent_before: int = 0
    length: int | None = None
    tail: bytes = b''
    resumes: int = 0
    is_stream: bool = False

    def count_chunk(self, chunk: bytes) -> None:
        """Add a relayed chunk to the progress."""
        self.sent += len(chunk)
        if self.is_stream:
            tail = self.tail + chunk[-TAIL_BYTES:]
            self.tail = tail[-TAIL_BYTES:]

    @property
    def may_be_complete(self) -> bool:
        """Tell whether a body that ends here may be complete.

        The target's HTTP message tells the length of an answer, but of a
        resumed one only that of the rest. A stream without a length may have
        ended inside its last event.
        """
        if self.is_stream:
            return STREAM_END in self.tail and (
                is_framed(self.answer.headers) or self.tail.endswith(EVENT_ENDS)
            )
        if not self.resumes:
            return True
        if self.length is None:
            return self.sent > self.sent_before
        return self.sent == self.length

    def resume_with(self, answer: EngineAnswer) -> None:
        """Take the rest of the body from another answer."""
        self.sent_before = self.sent
        self.answer = answer


def read_length(answer: EngineAnswer) -> int | None:
    """Return the body bytes that an answer announces; none if it does not."""
    text = answer.headers.get('content-length', '')
    return int(text) if text.isdecimal() else None

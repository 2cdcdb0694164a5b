"""Boundaries of the requests that arrive on a client's connection.

Load pattern: a client sends a head, its body and further requests in one
write, and all of it is read before the handler of the first request starts.
What is part of a head follows from the bytes alone, not from when they came.
"""

import re
from collections.abc import Callable
from typing import Final

from ragwortcourse.ingress.request_sizes import RequestSizes

HEAD_END: Final = b'\r\n\r\n'
LINE_END: Final = b'\r\n'
CHUNKED: Final = b'chunked'
FRAMING_HEADER: Final = re.compile(
    rb'\r\n(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*)',
    re.IGNORECASE,
)
CHUNK_SIZE: Final = re.compile(
    rb'[ \t]*([0-9a-f]{1,16})[ \t]*(?:;.*)?', re.IGNORECASE
)
HEXADECIMAL: Final = 16


class RequestFraming:
    """Reader of the boundaries between heads, bodies and requests.

    Bytes that break the protocol count as framing of the last request; the
    server's own parser refuses them.

    :ivar sizes: what has arrived of each request.
    """

    def __init__(self) -> None:
        self.sizes = RequestSizes()
        self._read: Callable[[bytes, int], int] = self._read_head
        # Last line of a head, or line between chunks, without its end.
        self._partial = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._left = 0

    @property
    def partial_head(self) -> int:
        """Bytes of a head whose end has not arrived."""
        is_head = self._read == self._read_head
        return self.sizes.arriving.head if is_head else 0

    def feed(self, received: bytes) -> None:
        """Count the next bytes of the connection."""
        position = 0
        while position < len(received):
            position += self._read(received, position)

    def _read_head(self, received: bytes, position: int) -> int:
        if not self.partial_head and received[position] in LINE_END:
            # Servers ignore empty lines before a request.
            return 1
        known = len(self._partial)
        lines, start = received, position
        if known:
            lines, start = bytes(self._partial) + received[position:], 0
        end = lines.find(HEAD_END, start + max(known - len(HEAD_END), 0))
        if end < 0:
            self.sizes.count(head=len(received) - position)
            # Only the last line may go on.
            kept = max(lines.rfind(LINE_END, start), start)
            self._headers.update(_find_headers(lines, start, kept))
            self._partial = bytearray(lines[kept:])
            return len(received) - position
        taken = end + len(HEAD_END) - start - known
        self.sizes.count(head=taken)
        self._headers.update(_find_headers(lines, start, end))
        self._begin_body()
        return taken

    def _begin_body(self) -> None:
        encoding = self._headers.get(b'transfer-encoding', b'')
        length = self._headers.get(b'content-length', b'')
        self._headers.clear()
        self._partial.clear()
        if encoding.endswith(CHUNKED):
            self._read = self._read_chunk_size
        elif length.isdigit() and int(length):
            self._left = int(length)
            self._read = self._read_body
        else:
            self.sizes.note_arrived()

    def _read_body(self, received: bytes, position: int) -> int:
        taken = self._take_body(received, position)
        if not self._left:
            self._end_request()
        return taken

    def _read_chunk_size(self, received: bytes, position: int) -> int:
        line, taken = self._take_line(received, position)
        if line is None:
            return taken
        found = CHUNK_SIZE.fullmatch(line)
        if found is None:
            self._read = self._read_invalid
        else:
            self._left = int(found[1], HEXADECIMAL)
            self._read = self._read_chunk if self._left else self._read_trailer
        return taken

    def _read_chunk(self, received: bytes, position: int) -> int:
        taken = self._take_body(received, position)
        if not self._left:
            self._read = self._read_chunk_end
        return taken

    def _read_chunk_end(self, received: bytes, position: int) -> int:
        line, taken = self._take_line(received, position)
        if line is not None:
            self._read = self._read_invalid if line else self._read_chunk_size
        return taken

    def _read_trailer(self, received: bytes, position: int) -> int:
        line, taken = self._take_line(received, position)
        if line is not None and not line:
            self._end_request()
        return taken

    def _read_invalid(self, received: bytes, position: int) -> int:
        self.sizes.count(framing=len(received) - position)
        return len(received) - position

    def _take_body(self, received: bytes, position: int) -> int:
        taken = min(self._left, len(received) - position)
        self._left -= taken
        self.sizes.count(body=taken)
        return taken

    def _take_line(
        self, received: bytes, position: int
    ) -> tuple[bytes | None, int]:
        """Take a line as far as it has arrived.

        :return: the line without its end, none if it is incomplete, and the
            number of bytes that were taken.
        """
        stop = received.find(b'\n', position) + 1 or len(received)
        self.sizes.count(framing=stop - position)
        self._partial += received[position:stop]
        if not self._partial.endswith(LINE_END):
            return None, stop - position
        line = bytes(self._partial[: -len(LINE_END)])
        self._partial.clear()
        return line, stop - position

    def _end_request(self) -> None:
        self.sizes.note_arrived()
        self._read = self._read_head


def _find_headers(lines: bytes, start: int, end: int) -> dict[bytes, bytes]:
    """Find the headers that say how long a body is, between two positions."""
    return {
        name.lower(): text.strip().lower()
        for name, text in FRAMING_HEADER.findall(lines, start, end)
    }

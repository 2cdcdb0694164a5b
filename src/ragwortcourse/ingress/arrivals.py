"""Bounds on what has arrived on a connection and no handler has read.

Load pattern: aiohttp keeps heads, pipelined requests and trailers in memory,
however many there are. Bodies stop at some hundred kilobytes until a handler
reads them.
"""

from typing import Final

from ragwortcourse.ingress.connection import CONNECTION_BYTES, Connection
from ragwortcourse.ingress.refusals import (
    BUDGET_SPENT,
    HEAD_TOO_LARGE,
    OVERHEAD_TOO_LARGE,
)
from ragwortcourse.ingress.request_framing import RequestFraming
from ragwortcourse.ingress.request_sizes import RequestSizes

# aiohttp keeps the bytes of a head and their text; measured on long lines.
HEAD_COPIES: Final = 3
# Heads, chunk headers and trailers of pipelined requests that wait.
PIPELINED_BYTES: Final = 1_048_576
# Chunk headers, extensions and trailers of a body.
LONGEST_OVERHEAD: Final = 65_536
# A chunk of one byte takes six.
FRAMING_FACTOR: Final = 16


class Arrivals:
    """Bytes of one connection that are held for what no handler has read.

    The handler of a request holds its body as it reads it.
    """

    def __init__(self) -> None:
        self._framing = RequestFraming()
        self._held = 0

    @property
    def sizes(self) -> RequestSizes:
        """What has arrived of each request."""
        return self._framing.sizes

    @property
    def partial_head(self) -> int:
        """Bytes of a head whose end has not arrived."""
        return self._framing.partial_head

    def feed(self, received: bytes) -> None:
        """Count the next bytes of the connection."""
        self._framing.feed(received)

    def hold(self, connection: Connection) -> str | None:
        """Hold what has arrived, unless a bound is exceeded.

        :return: the cause of a refusal; none if it is held.
        """
        arriving = self.sizes.arriving
        if self.partial_head > connection.limits.header_bytes:
            return HEAD_TOO_LARGE
        if self.sizes.waiting_overhead > PIPELINED_BYTES:
            return HEAD_TOO_LARGE
        if arriving.framing > LONGEST_OVERHEAD + arriving.body * FRAMING_FACTOR:
            return OVERHEAD_TOO_LARGE
        grown = max(self._count() - self._held, 0)
        if not connection.hold(grown):
            return BUDGET_SPENT
        self._held += grown
        return None

    def release(self, connection: Connection) -> None:
        """Return what is held beyond that, at either end of a request."""
        self._held = self._count()
        connection.release_to(CONNECTION_BYTES + self._held)

    def _count(self) -> int:
        running = self.sizes.running
        overhead = self.sizes.waiting_overhead
        if running is not None:
            overhead += running.overhead
        return overhead * HEAD_COPIES + self.sizes.waiting_body

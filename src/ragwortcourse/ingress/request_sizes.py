"""Bytes that have arrived of the requests of one connection."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestSize:
    """Bytes of one request that have arrived.

    :param framing: bytes of chunk sizes, extensions and trailers.
    """

    head: int = 0
    body: int = 0
    framing: int = 0

    @property
    def overhead(self) -> int:
        """Bytes that are not part of the body."""
        return self.head + self.framing


class RequestSizes:
    """Sizes of the requests of one connection that have not ended.

    :ivar arriving: request that the next byte belongs to.
    :ivar running: request whose handler has begun; none between requests.
    :ivar waiting_overhead: bytes beside the bodies of all other requests.
    :ivar waiting_body: bytes of their bodies.
    """

    def __init__(self) -> None:
        self.arriving = RequestSize()
        self.running: RequestSize | None = None
        self.waiting_overhead = 0
        self.waiting_body = 0
        self._waiting = collections.deque((self.arriving,))

    @property
    def is_preceded(self) -> bool:
        """Tell whether a request before the arriving one has not ended."""
        if self.running is not None and self.running is not self.arriving:
            return True
        return len(self._waiting) > 1

    def count(self, *, head: int = 0, body: int = 0, framing: int = 0) -> None:
        """Count the next bytes of the arriving request."""
        arriving = self.arriving
        arriving.head += head
        arriving.body += body
        arriving.framing += framing
        if arriving is not self.running:
            self.waiting_overhead += head + framing
            self.waiting_body += body

    def note_arrived(self) -> None:
        """Note that the arriving request is whole."""
        self.arriving = RequestSize()
        self._waiting.append(self.arriving)

    def begin(self) -> None:
        """Note that the handler of the next request begins."""
        running = self._waiting.popleft() if self._waiting else RequestSize()
        self.waiting_overhead -= running.overhead
        self.waiting_body -= running.body
        self.running = running

    def end(self) -> None:
        """Note that the handler has ended."""
        self.running = None

"""Protocol that counts the bytes of a connection around aiohttp's protocol.

Load pattern: aiohttp keeps each head, up to 32 pipelined requests and all
trailers in memory before a handler is called, so that no handler can bound
them.
"""

import asyncio
from collections.abc import Callable
from typing import Final, cast

from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from ragwortcourse.ingress.connection import CONNECTION_BYTES, Connection
from ragwortcourse.ingress.head_end import HeadEnd
from ragwortcourse.ingress.ingress import Ingress, note_ended
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.refusals import (
    BODY_LEFT,
    BUDGET_SPENT,
    HEAD_TOO_LARGE,
    OVERHEAD_TOO_LARGE,
    write_refusal,
)

# aiohttp keeps the bytes of a head and their text; measured on long lines.
HEAD_COPIES: Final = 3
# Pipelined requests of a connection. 32 of them with heads and bodies of the
# usual size are fewer bytes.
PIPELINED_BYTES: Final = 1_048_576
# Chunk headers, extensions and trailers of a body.
LONGEST_OVERHEAD: Final = 65_536
# A chunk of one byte takes six.
FRAMING_FACTOR: Final = 16
# Size at which the writers of answers wait for the client.
WRITE_BUFFER_BYTES: Final = 65_536


class GuardedProtocol(asyncio.Protocol):
    """Protocol of one connection that passes everything on to aiohttp's."""

    def __init__(
        self,
        *,
        inner: RequestHandler,
        ingress: Ingress,
        is_limited: bool,
        note_lost: Callable[[RequestHandler], None],
    ) -> None:
        self.inner = inner
        self._note_lost = note_lost
        self._is_dropping = False
        self._is_detached = False
        self.connection: Connection | None = None
        self._ingress = ingress
        self._is_limited = is_limited
        self._transport: asyncio.Transport | None = None
        self._head = HeadEnd()
        self._pending = 0
        self._body: StreamReader | None = None
        self._beside = 0
        self._body_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it."""
        opened = cast('asyncio.Transport', transport)
        self._transport = opened
        opened.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        peer = opened.get_extra_info('peername') or ('',)
        self.connection = self._ingress.admit(
            client=str(peer[0]),
            close=self._close,
            is_limited=self._is_limited,
        )
        if self.connection is None:
            opened.abort()
            return
        self.inner.connection_made(opened)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what is held for the connection."""
        self._note_lost(self.inner)
        if self.connection is not None:
            if not self._is_detached:
                self.inner.connection_lost(exc)
            self._ingress.forget(self.connection)

    def data_received(self, data: bytes) -> None:
        """Count the bytes, and pass them on if there is room for them."""
        connection = self.connection
        if connection is None or connection.phase is Phase.CLOSING:
            if self._body is not None and not self._is_dropping:
                # aiohttp reads the rest of a body that was refused.
                self.inner.data_received(data)
            return
        connection.note_moved(len(data))
        if self._body is None:
            is_taken = self._count_head(connection, data)
        elif self._body.is_eof():
            is_taken = self._count_pipelined(connection, data)
        else:
            self._take_body(connection, self._body, data)
            return
        if is_taken:
            self.inner.data_received(data)

    def pause_writing(self) -> None:
        """Note that the client does not take its answer."""
        if not self._is_detached:
            self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Note that the client took most of what was written."""
        if self.connection is not None:
            self.connection.note_moved(WRITE_BUFFER_BYTES)
        if not self._is_detached:
            self.inner.resume_writing()

    def begin_request(self, body: StreamReader, head_bytes: int) -> None:
        """Begin the request that aiohttp read next."""
        self._body = body
        begun = head_bytes + body.total_bytes
        self._pending = max(self._pending - begun, 0)
        self._body_received = self._pending + body.total_bytes
        self._beside = self._pending
        if self.connection is not None:
            self.connection.enter(Phase.RUNNING)
            heads = (self._pending + head_bytes) * HEAD_COPIES
            self.connection.release_to(CONNECTION_BYTES + heads)

    def end_request(self) -> None:
        """Return what was held for the request."""
        connection = self.connection
        if connection is None or self._body is None:
            return
        connection.release_to(CONNECTION_BYTES + self._pending * HEAD_COPIES)
        if self._body.is_eof():
            self._body = None
            connection.enter(Phase.IDLE)
        else:
            # aiohttp reads the rest for some seconds, then closes.
            connection.begin_closing(BODY_LEFT)
            if self._is_dropping:
                # The parser holds what it has read of the trailers.
                self._end_sending()

    def _count_head(self, connection: Connection, data: bytes) -> bool:
        if connection.phase is Phase.IDLE:
            connection.enter(Phase.HEAD)
            self._head = HeadEnd()
            self._pending = 0
            connection.release_to(CONNECTION_BYTES)
        is_whole = self._head.find(data)
        limit = connection.limits.header_bytes
        if not is_whole and self._head.size > limit:
            return self._refuse(connection, HEAD_TOO_LARGE)
        return self._count_pipelined(connection, data)

    def _count_pipelined(self, connection: Connection, data: bytes) -> bool:
        self._pending += len(data)
        if self._pending > PIPELINED_BYTES:
            return self._refuse(connection, HEAD_TOO_LARGE)
        if not connection.hold(len(data) * HEAD_COPIES):
            return self._refuse(connection, BUDGET_SPENT)
        return True

    def _take_body(
        self, connection: Connection, body: StreamReader, data: bytes
    ) -> None:
        """Pass part of a body on, and count what is not part of it."""
        self.inner.data_received(data)
        self._body_received += len(data)
        # What the parser has not read yet counts too, until it has.
        beside = self._body_received - body.total_bytes
        grown = max(beside - self._beside, 0)
        self._beside += grown
        if beside > LONGEST_OVERHEAD + body.total_bytes * FRAMING_FACTOR:
            self._refuse(connection, OVERHEAD_TOO_LARGE)
        elif not connection.hold(grown * HEAD_COPIES):
            self._refuse(connection, BUDGET_SPENT)

    def _refuse(self, connection: Connection, cause: str) -> bool:
        self._is_dropping = True
        note_ended(cause, connection)
        connection.end(cause)
        return False

    def _end_sending(self) -> None:
        """Send nothing more; the client closes, or the next checks abort."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write_eof()
            # A detached protocol would close it, and drop the refusal.
            self.inner.transport = None
        if not self._is_detached:
            self._is_detached = True
            self.inner.connection_lost(None)

    def _close(self, phase: Phase) -> None:
        """Close the connection in a way that fits its phase."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if phase is Phase.IDLE:
            transport.close()
        elif phase is Phase.HEAD and self.connection is not None:
            transport.write(write_refusal(self.connection.cause))
            self._end_sending()
        else:
            transport.abort()

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

from ragwortcourse.ingress.arrivals import Arrivals
from ragwortcourse.ingress.connection import Connection
from ragwortcourse.ingress.ingress import Ingress, note_ended
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.refusals import (
    BODY_LEFT,
    write_refusal,
)

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
        self._arrivals = Arrivals()
        self._late_refusal: str | None = None
        self._body: StreamReader | None = None

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
        if connection.phase is Phase.IDLE:
            connection.enter(Phase.HEAD)
        if self._late_refusal is None:
            self._arrivals.feed(data)
            self._pass_on(connection, data)

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

    def begin_request(self, body: StreamReader) -> None:
        """Begin the request that aiohttp read next."""
        self._body = body
        self._arrivals.sizes.begin()
        if self.connection is not None:
            self.connection.enter(Phase.RUNNING)
            self._arrivals.release(self.connection)

    def end_request(self) -> None:
        """Return what was held for the request."""
        connection = self.connection
        if connection is None or self._body is None:
            return
        self._arrivals.sizes.end()
        self._arrivals.release(connection)
        if self._body.is_eof():
            self._body = None
            is_idle = not self._arrivals.sizes.waiting_overhead
            connection.enter(Phase.IDLE if is_idle else Phase.HEAD)
            self._refuse_late(connection)
        else:
            # aiohttp reads the rest for some seconds, then closes.
            connection.begin_closing(BODY_LEFT)
            if self._is_dropping:
                # The parser holds what it has read of the trailers.
                self._end_sending()

    def _pass_on(self, connection: Connection, data: bytes) -> None:
        """Pass bytes on that were counted, unless a bound is exceeded."""
        cause = self._arrivals.hold(connection)
        if cause is None:
            self.inner.data_received(data)
        elif self._arrivals.sizes.is_preceded:
            # The requests before are answered first.
            self._late_refusal = cause
            before = max(len(data) - self._arrivals.partial_head, 0)
            self.inner.data_received(data[:before])
        else:
            self._refuse(connection, cause)

    def _refuse_late(self, connection: Connection) -> None:
        """Refuse the last request once those before it have ended."""
        cause = self._late_refusal
        if cause is not None and not self._arrivals.sizes.is_preceded:
            self._refuse(connection, cause)

    def _refuse(self, connection: Connection, cause: str) -> None:
        self._is_dropping = True
        note_ended(cause, connection)
        connection.end(cause)

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

"""One end of a TCP connection in memory."""

import asyncio
import collections
import errno
import os
from collections.abc import Callable
from typing import Any, cast

from fakes.memory_socket import MemorySocket


class MemoryTransport(asyncio.Transport):
    """Transport whose bytes reach the other end in order, in virtual time.

    As with TCP, a close with unread bytes and bytes to a closed end reset the
    connection.

    :param transit: seconds of one way.
    :ivar closed_at: when this end was closed; none while it is open.
    :ivar peer: the other end.
    """

    peer: 'MemoryTransport'

    def __init__(
        self,
        *,
        protocol: asyncio.Protocol,
        opened: MemorySocket,
        transit: float,
    ) -> None:
        super().__init__(
            {
                'socket': opened,
                'sockname': opened.getsockname(),
                'peername': opened.getpeername(),
            }
        )
        self.closed_at: float | None = None
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._transit = transit
        self._way: collections.deque[Callable[[], None]] = collections.deque()
        self._held: list[Callable[[], None]] = []
        self._is_reading = True

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = cast('asyncio.Protocol', protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return self._protocol

    def is_closing(self) -> bool:
        """Tell whether this end is closed."""
        return self.closed_at is not None

    def is_reading(self) -> bool:
        """Tell whether bytes are passed to the protocol."""
        return self._is_reading

    def pause_reading(self) -> None:
        """Hold bytes that arrive."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass on the held bytes, and those that arrive later."""
        self._is_reading = True
        self._loop.call_soon(self._pass_held)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignore the limits: the other end takes all bytes."""

    def get_write_buffer_size(self) -> int:
        """Return zero: bytes leave at once."""
        return 0

    def write(self, data: Any) -> None:
        """Send bytes."""
        content = bytes(data)
        if content and not self.is_closing():
            self._send(lambda peer: peer.take(content))

    def can_write_eof(self) -> bool:
        """Return false: both directions end together."""
        return False

    def close(self) -> None:
        """End the connection in order, unless bytes are unread."""
        if self.is_closing():
            return
        if self._held:
            self.abort()
            return
        self._send(MemoryTransport.take_end)
        self._end(None)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_closing():
            self._send(MemoryTransport.take_reset)
            self._end(None)

    def take(self, content: bytes) -> None:
        """Take bytes that arrive."""
        if self.is_closing():
            self._send(MemoryTransport.take_reset)
        else:
            self._pass(lambda: self._protocol.data_received(content))

    def take_end(self) -> None:
        """Take the orderly end of the other side."""
        if not self.is_closing():
            self._pass(self._pass_end)

    def take_reset(self) -> None:
        """Take a reset, after which held bytes are lost."""
        if not self.is_closing():
            self._held.clear()
            self._end(
                ConnectionResetError(
                    errno.ECONNRESET, os.strerror(errno.ECONNRESET)
                )
            )

    def _send(self, take: Callable[['MemoryTransport'], None]) -> None:
        # Timers that are due at the same time fire in no certain order.
        self._way.append(lambda: take(self.peer))
        self._loop.call_later(self._transit, self._arrive)

    def _arrive(self) -> None:
        self._way.popleft()()

    def _pass(self, step: Callable[[], None]) -> None:
        if self._is_reading:
            step()
        else:
            self._held.append(step)

    def _pass_held(self) -> None:
        while self._held and self._is_reading:
            self._held.pop(0)()

    def _pass_end(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _end(self, error: Exception | None) -> None:
        self.closed_at = self._loop.time()
        self._loop.call_soon(self._protocol.connection_lost, error)

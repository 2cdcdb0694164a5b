"""Connections to targets that distinguish a reset from a regular close."""

import functools
import socket
import struct
from typing import Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

# Lingers for no time: a close resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class TargetProtocol(ResponseHandler):
    """Protocol that records whether its connection was reset.

    The event loop reports a reset that arrives together with data as a
    regular end of file. The socket still holds the error then.
    """

    was_reset = False

    def close(self) -> None:
        """Close the connection, by a reset if the answer is not whole.

        After an orderly close the rest of a request still reaches a target
        that stands still, which runs it as it goes on. A target that does not
        read notices only a reset.
        """
        if self.transport is None or self._is_answered():
            super().close()
            return
        opened: socket.socket | None = self.transport.get_extra_info('socket')
        if opened is not None:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()

    def eof_received(self) -> None:
        """Read the pending error of the socket before it is closed."""
        transport = self.transport
        opened: socket.socket | None = (
            None if transport is None else transport.get_extra_info('socket')
        )
        if opened is not None:
            error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.was_reset = bool(error)  # noqa: WPS601
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record an error of the connection."""
        if isinstance(exc, OSError):
            self.was_reset = True  # noqa: WPS601
        super().connection_lost(exc)

    def _is_answered(self) -> bool:
        return self._payload is not None and self._payload.is_eof()


class TargetConnector(aiohttp.TCPConnector):
    """Connector whose connections use :class:`TargetProtocol`."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        # aiohttp has no public way to set the protocol class.
        self._factory = functools.partial(  # type: ignore[assignment]
            TargetProtocol, loop=self._loop
        )


class TargetResponse(aiohttp.ClientResponse):
    """Response that keeps its protocol after the body has ended."""

    _kept: TargetProtocol | None = None

    async def start(self, connection: Connection) -> 'TargetResponse':
        """Read status and headers."""
        if isinstance(connection.protocol, TargetProtocol):
            self._kept = connection.protocol  # noqa: WPS601
        await super().start(connection)
        return self

    def was_reset(self) -> bool:
        """Tell whether the connection was reset."""
        return self._kept is not None and self._kept.was_reset

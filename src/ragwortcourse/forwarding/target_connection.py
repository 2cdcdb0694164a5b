"""Connections to targets that tell a reset from a plain end."""

import functools
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection


class TargetProtocol(ResponseHandler):
    """Remembers how its connection ended.

    A reset that arrives together with bytes is reported by the event loop
    as a plain end; the socket still holds the error then.
    """

    was_reset = False

    def eof_received(self) -> None:
        """Look at the socket before it is closed."""
        transport = self.transport
        opened: socket.socket | None = (
            None if transport is None else transport.get_extra_info('socket')
        )
        if opened is not None:
            error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.was_reset = bool(error)  # noqa: WPS601
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note an error of the connection."""
        if isinstance(exc, OSError):
            self.was_reset = True  # noqa: WPS601
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Opens connections with that protocol."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        # The library has no public way to name the protocol.
        self._factory = functools.partial(  # type: ignore[assignment]
            TargetProtocol, loop=self._loop
        )


class TargetResponse(aiohttp.ClientResponse):
    """A response that still knows its protocol after its end."""

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

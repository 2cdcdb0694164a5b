"""Connections to servers that distinguish a reset from a regular close."""

import functools
import socket
from typing import ClassVar

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ResetProtocol(ResponseHandler):
    """Protocol that breaks an unfinished body when its connection is reset.

    aiohttp takes any end of the connection as the end of a body without a
    length.

    The event loop reports a reset that arrives together with data as a
    regular end of file. The socket still holds the error then.
    """

    _was_reset = False

    def eof_received(self) -> None:
        """Read the pending error of the socket before it is closed."""
        transport = self.transport
        opened: socket.socket | None = (
            None if transport is None else transport.get_extra_info('socket')
        )
        if opened is not None:
            error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._was_reset = bool(error)  # noqa: WPS601
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the body if the connection ended with an error."""
        body = self._payload
        is_reset = self._was_reset or isinstance(exc, OSError)
        if is_reset and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError('connection reset'))
        super().connection_lost(exc)


class ResetConnector(aiohttp.TCPConnector):
    """Connector whose connections use :class:`ResetProtocol`.

    :cvar protocol: class of the protocol, which a subclass may extend.
    """

    protocol: ClassVar[type[ResetProtocol]] = ResetProtocol

    def __init__(self, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        # aiohttp has no public way to set the protocol class.
        self._factory = functools.partial(  # type: ignore[assignment]
            self.protocol, loop=self._loop
        )

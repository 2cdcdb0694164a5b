"""Connections to servers that may reset them, or send without end.

Load pattern: a faulty server sends bytes that are no answer until its caller
closes: header after header, interim answers one after the other, or a chunk's
size line. What has been read of a head is kept in memory until its end.

A failing server also sends heads with a status that HTTP does not define, such
as 000 or 600. aiohttp takes those from 600 on as answers, and waits on after
those below 100 as after interim answers.
"""

import functools
import socket
from http import HTTPStatus
from typing import Any, ClassVar, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

# Bytes of an answer beside its body: interim answers, the head, and framing.
LONGEST_OVERHEAD: Final = 131_072
# A chunk of one byte takes six; events come in small chunks.
FRAMING_FACTOR: Final = 16
# Bounds of the statuses that HTTP defines.
LOWEST_STATUS: Final = 100
HIGHEST_STATUS: Final = 599
# The framing of other major versions is another one.
HTTP_MAJOR: Final = 1


class ResetProtocol(ResponseHandler):
    """Protocol that breaks an unfinished body when its connection is reset.

    It also ends a connection on which much more than a body arrives.

    aiohttp takes any end of the connection as the end of a body without a
    length.

    The event loop reports a reset that arrives together with data as a
    regular end of file. The socket still holds the error then.
    """

    _was_reset = False
    _received: int = 0
    _body: StreamReader | None = None

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to the next request."""
        super().set_response_params(**options)
        self._received = 0  # noqa: WPS601
        self._body = None  # noqa: WPS601

    def data_received(self, data: bytes) -> None:
        """Read bytes; the connection ends if they are no part of a body."""
        body_bytes = 0 if self._body is None else self._body.total_bytes
        if self._received > LONGEST_OVERHEAD + body_bytes * FRAMING_FACTOR:
            self._give_up(f'over {LONGEST_OVERHEAD} bytes beside the body')
            return
        self._received += len(data)  # noqa: WPS601
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that was read, unless it is of an interim answer.

        A head that is none ends the connection. What follows it in the same
        bytes is no answer to the request either.
        """
        message, body = data
        fault = _find_head_fault(message)
        if self.exception() is not None:
            return
        if fault is not None:
            self._give_up(fault)
        elif message.code >= HTTPStatus.OK:
            self._body = body  # noqa: WPS601
            super().feed_data(data, size)

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

    def _give_up(self, reason: str) -> None:
        """End the connection; the waiting request fails."""
        if self.transport is not None and not self.transport.is_closing():
            self.set_exception(BadHttpMessage(reason))
            self.transport.abort()


def _find_head_fault(message: RawResponseMessage) -> str | None:
    """Return why a head is none of an answer; none if it may be."""
    if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
        # No request asks for it, and its body would never end.
        return 'the server switches protocols'
    if not LOWEST_STATUS <= message.code <= HIGHEST_STATUS:
        return f'status {message.code:03}'
    if message.version.major != HTTP_MAJOR:
        return f'HTTP version {message.version.major}.{message.version.minor}'
    return None


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

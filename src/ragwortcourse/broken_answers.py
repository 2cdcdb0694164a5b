"""Ends of answers that are broken off before they are whole."""

import asyncio
import socket
import struct
from typing import Final

from aiohttp import HttpVersion11, web

# Lingers for no time: a close resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of a connection reset it."""
    opened: socket.socket | None = transport.get_extra_info('socket')
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def show_break(request: web.BaseRequest) -> None:
    """Let the close of a connection show that its answer is not whole.

    An answer by HTTP/1.0 without a length ends with its connection, so that
    an orderly close would make it look whole.
    """
    if request.transport is not None and request.version < HttpVersion11:
        reset_on_close(request.transport)

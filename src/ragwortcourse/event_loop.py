"""Event loop of daemons."""

import asyncio
import socket
from collections.abc import Callable
from typing import TypeVar

import uvloop

ProtocolT = TypeVar('ProtocolT', bound=asyncio.BaseProtocol)


class EventLoop(uvloop.Loop):
    """Loop of uvloop that closes the descriptor of a connection only once."""

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], ProtocolT],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        **options: object,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Open a connection, or take over a connected socket.

        :param sock: the connected socket.
        """
        try:
            return await super().create_connection(  # type: ignore[call-overload,no-any-return]
                protocol_factory, host, port, sock=sock, **options
            )
        except asyncio.CancelledError:
            # The transport has closed the descriptor, but uvloop leaves it to
            # the socket, too, which would close whatever has its number then.
            if sock is not None:
                sock.detach()
            raise

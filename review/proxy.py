"""Proxy between one daemon and the store that cuts the path by resets."""

import asyncio
import contextlib
import socket
import struct

RESET = struct.pack('ii', 1, 0)


class CutProxy:
    """Forwards connections to an address until it is cut.

    :param target: address to which connections are forwarded.
    """

    def __init__(self, *, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address to which the daemon connects."""
        return f'127.0.0.1:{self._port}'

    async def heal(self) -> None:
        """Accept connections, at the same address as before."""
        self._server = await asyncio.start_server(
            self._forward, '127.0.0.1', self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            opened: socket.socket = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        copies = [
            asyncio.ensure_future(_copy(reader, far_writer)),
            asyncio.ensure_future(_copy(far_reader, writer)),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for each in copies:
            each.cancel()
        self._writers -= both
        for each in both:
            each.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while content := await reader.read(65_536):
            writer.write(content)
            await writer.drain()

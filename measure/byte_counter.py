"""A TCP proxy that counts the bytes it forwards in both directions."""

import asyncio
import contextlib
from typing import Final

BUFFER_BYTES: Final = 65_536
STATUS_LINE_START: Final = b'HTTP/1.1 '


class ByteCounter:
    """Forward loopback connections to one address and count their bytes.

    :ivar sent: bytes from the clients to the address.
    :ivar received: bytes from the address to the clients.
    :ivar requests: number of HTTP responses, counted by the start of their
        status line.
    :ivar address: ``ip:port`` that the counter listens on, empty before
        :meth:`start`.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.requests = 0
        self.address = ''
        self._server: asyncio.Server | None = None

    @property
    def total(self) -> int:
        """Bytes forwarded in both directions."""
        return self.sent + self.received

    async def start(self, target: str) -> str:
        """Start to forward connections.

        :param target: ``ip:port`` to forward to.
        :return: ``ip:port`` that the counter listens on.
        """
        host, _, port = target.rpartition(':')

        async def forward(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                upstream = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._copy(reader, upstream[1], is_response=False),
                self._copy(upstream[0], writer, is_response=True),
            )

        self._server = await asyncio.start_server(forward, '127.0.0.1', 0)
        own_port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{own_port}'
        return self.address

    async def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def reset(self) -> None:
        """Set all counts to zero."""
        self.sent = self.received = self.requests = 0

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while block := await reader.read(BUFFER_BYTES):
                if is_response:
                    self.received += len(block)
                    self.requests += block.count(STATUS_LINE_START)
                else:
                    self.sent += len(block)
                writer.write(block)
                await writer.drain()
        writer.close()

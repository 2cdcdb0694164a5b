"""A TCP relay that counts what passes, both ways."""

import asyncio
import contextlib
from typing import Final

PIECE_BYTES: Final = 65_536
ANSWER_START: Final = b'HTTP/1.1 '


class ByteCounter:
    """Listens on loopback, relays to one address and counts.

    ``requests`` counts answers by the start of their status line.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.requests = 0
        self.address = ''
        self._server: asyncio.Server | None = None

    @property
    def total(self) -> int:
        """Bytes both ways."""
        return self.sent + self.received

    async def start(self, target: str) -> str:
        """Relay to an ``ip:port`` from now on; the own ``ip:port``."""
        host, _, port = target.rpartition(':')

        async def relay(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                back = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._pump(reader, back[1], is_answer=False),
                self._pump(back[0], writer, is_answer=True),
            )

        self._server = await asyncio.start_server(relay, '127.0.0.1', 0)
        number = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{number}'
        return self.address

    async def stop(self) -> None:
        """Take no further connection."""
        if self._server is not None:
            self._server.close()

    def reset(self) -> None:
        """Count from zero."""
        self.sent = self.received = self.requests = 0

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                if is_answer:
                    self.received += len(piece)
                    self.requests += piece.count(ANSWER_START)
                else:
                    self.sent += len(piece)
                writer.write(piece)
                await writer.drain()
        writer.close()

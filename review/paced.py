"""Clients that read their answers steadily, at the pace of a narrow line."""

import asyncio
import dataclasses
import socket
import time

from review import rig

PIECE_BYTES = 16384
RECEIVE_BYTES = 65536
# Segments of an ordinary path; those of the loopback device hold 64 KB.
SEGMENT_BYTES = 1448


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fetched:
    """What came of one answer.

    :param longest: seconds between two pieces that the client read.
    """

    status: int = 0
    got: int = 0
    needed: int = 0
    how: str = ''
    longest: float = 0.0

    def __str__(self):
        """Show the figures."""
        return f'{self.status} {self.got}/{self.needed} {self.how}'


class Channel:
    """Channel of one client, kept for several requests."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    async def open(self):
        """Open the channel with small windows."""
        host, _, port = self._address.rpartition(':')
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        opened.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, (host, int(port)))
        self._reader, self._writer = await asyncio.open_connection(
            sock=opened, limit=2 * PIECE_BYTES
        )

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()

    async def fetch(self, attempt, path, *, seconds, rate=None, body=b''):
        """Send a request and read its answer.

        :param seconds: time that the client waits.
        :param rate: bytes a second that the client reads; none: all it can.
        """
        status = got = needed = 0
        longest = 0.0
        method = 'POST' if body else 'GET'
        headers = rig.make_headers(attempt, deadline_ms=int(seconds * 1000))
        try:
            async with asyncio.timeout(seconds):
                self._writer.write(
                    rig.write_request(method, path, headers, body)
                )
                first, received = await rig.read_head(self._reader)
                status = int(first.split()[1])
                needed = int(received.get('content-length', 0))
                began = read_at = time.monotonic()
                how = 'complete'
                while got < needed:
                    piece = await self._reader.read(PIECE_BYTES)
                    longest = max(longest, time.monotonic() - read_at)
                    read_at = time.monotonic()
                    if not piece:
                        how = 'channel ended'
                        break
                    got += len(piece)
                    if rate is not None:
                        due = began + got / rate - time.monotonic()
                        await asyncio.sleep(max(due, 0))
        except TimeoutError:
            how = 'time limit'
        except (OSError, asyncio.IncompleteReadError) as error:
            how = f'channel ended, {error!r}'
        return Fetched(
            status=status, got=got, needed=needed, how=how, longest=longest
        )

"""Clients that cost a daemon memory or descriptors and then stay connected."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable, Iterator
from typing import Final

PIECE: Final = bytes(65_536)
# Longest wait for the clients: a daemon may stop reading from them.
PLAY_SECONDS: Final = 5.0
HEADER_TEXT_BYTES: Final = 30_000


def write_head(
    path: str,
    *lines: str,
    method: str = 'POST',
    key: str = 'a-key',
    attempt: str = 'u1',
) -> bytes:
    """Write the head of a request.

    :param lines: further header lines.
    """
    head = (
        f'{method} {path} HTTP/1.1',
        'Host: desk.example',
        f'Authorization: Bearer {key}',
        f'Ragwortcourse-Attempt-Id: {attempt}',
        'Ragwortcourse-Deadline-Ms: 60000',
        *lines,
    )
    return '\r\n'.join((*head, '', '')).encode()


def send_length(path: str, *, announced: int, sent: int) -> Iterator[bytes]:
    """Send part of a body of announced length."""
    yield write_head(path, f'Content-Length: {announced}')
    yield from itertools.repeat(PIECE, sent // len(PIECE))


def send_chunks(path: str, *, sent: int, size: int = 65_536) -> Iterator[bytes]:
    """Send a chunked body without its end."""
    yield write_head(path, 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (size, bytes(size))
    repeats = max(len(PIECE) // len(chunk), 1)
    yield from itertools.repeat(chunk * repeats, sent // (size * repeats))


def send_header_lines(path: str, *, count: int) -> Iterator[bytes]:
    """Send a head of many long lines, without its end."""
    yield write_head(path)[:-2]
    text = b'x' * HEADER_TEXT_BYTES
    for number in range(count):
        yield b'X-Long-%d: %b\r\n' % (number, text)


def send_trailers(path: str, *, count: int) -> Iterator[bytes]:
    """Send a chunked body with many long trailers, without their end."""
    yield write_head(path, 'Transfer-Encoding: chunked')
    yield b'1\r\nx\r\n0\r\n'
    text = b'x' * HEADER_TEXT_BYTES
    for number in range(count):
        yield b'X-Long-%d: %b\r\n' % (number, text)


def send_pipelined(
    path: str, *, count: int, lines: int, method: str = 'POST'
) -> Iterator[bytes]:
    """Send whole requests one after another, with long heads."""
    text = 'x' * HEADER_TEXT_BYTES
    head = write_head(
        path,
        'Content-Length: 0',
        *(f'X-Long-{number}: {text}' for number in range(lines)),
        method=method,
    )
    yield from itertools.repeat(head, count)


def send_requests(path: str, *, count: int = 1) -> Iterator[bytes]:
    """Send whole requests and read no answer."""
    yield from itertools.repeat(write_head(path, 'Content-Length: 0'), count)


def send_few_bytes() -> Iterator[bytes]:
    """Send the first bytes of a head."""
    yield b'POST /lookups/1 HT'


class UntrustedClients:
    """Connections that send what they are given, and read nothing.

    :param address: ``ip:port`` of the daemon.
    """

    def __init__(self, *, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._host, self._port = host, int(port)
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self, clients: Iterable[Iterator[bytes]]) -> None:
        """Let all clients send until they are done or not read any more."""
        sent: list[asyncio.Event] = []
        for pieces in clients:
            done = asyncio.Event()
            sent.append(done)
            self._tasks.append(asyncio.create_task(self._send(pieces, done)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PLAY_SECONDS):
                await asyncio.gather(*(done.wait() for done in sent))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, pieces: Iterator[bytes], done: asyncio.Event) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            # With this limit the client's own buffer of answers is small.
            _, writer = await asyncio.open_connection(
                self._host, self._port, limit=1
            )
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
        except OSError:
            # The daemon may close the connection of such a client.
            done.set()
            return
        else:
            done.set()
            await asyncio.Event().wait()
        finally:
            if writer is not None:
                writer.transport.abort()

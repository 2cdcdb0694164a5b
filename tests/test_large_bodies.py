"""Bodies well inside the limits, sent as fast as a client can.

Guards against the failure of review/9: bytes that arrived before the handler
of their request began counted as head, so that bodies were refused with 431.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fakes.ports import pick_address
from ragwortcourse.ingress.byte_budget import ByteBudget
from ragwortcourse.ingress.client_limits import ClientLimits
from ragwortcourse.ingress.ingress import Ingress
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.processes.sites import open_site

LIMITS = ClientLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_seconds=3,
    idle_seconds=15,
)
SIZES = (20_000, 100_000, 300_000, 1_000_000, 2_500_000, LIMITS.body_bytes)
LONG_HEAD = b'X-Padding: %b\r\n' % (b'x' * 7000) * 2


def write_request(
    size: int, *, chunk: int = 0, extra: bytes = b'', close: bool = False
) -> bytes:
    """Write a request whose body has a size.

    :param chunk: bytes of each chunk; zero for a body with a length.
    """
    head = b'POST / HTTP/1.1\r\nHost: a\r\n' + extra
    if close:
        head += b'Connection: close\r\n'
    if not chunk:
        return head + b'Content-Length: %d\r\n\r\n' % size + bytes(size)
    parts = [
        b'%x\r\n%b\r\n' % (len(piece), piece)
        for piece in (
            bytes(min(chunk, size - start)) for start in range(0, size, chunk)
        )
    ]
    head += b'Transfer-Encoding: chunked\r\n\r\n'
    return head + b''.join(parts) + b'0\r\n\r\n'


class Port:
    """A guarded port whose handler returns the size of a body."""

    def __init__(self) -> None:
        self.address = pick_address()
        self.ingress = Ingress(
            budget=ByteBudget(total=100_000_000),
            read_limits=lambda: LIMITS,
            read_most=lambda: 100,
        )

    async def handle(self, request: web.Request) -> web.Response:
        """Answer with the size of the body."""
        return web.Response(text=str(len(await read_request_body(request))))

    async def send(self, *pieces: bytes) -> bytes:
        """Send pieces, each in one write; return all until the end."""
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        answer = asyncio.ensure_future(reader.read())
        for piece in pieces:
            writer.write(piece)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(0.01)
        async with asyncio.timeout(10):
            received = await answer
        writer.close()
        return received


@contextlib.asynccontextmanager
async def serve() -> AsyncIterator[Port]:
    """Open a port for the time of the body."""
    port = Port()
    runner = await open_site(
        address=port.address,
        routes=[web.route('*', '/{path:.*}', port.handle)],
        ingress=port.ingress,
        is_limited=True,
    )
    try:
        yield port
        # The server notices that the client has closed.
        await asyncio.sleep(0.1)
        assert not port.ingress.budget.used
    finally:
        await runner.cleanup()


def read_status(answer: bytes) -> int:
    """Read the status of an answer; zero if there is none."""
    return int(answer.split(b' ')[1]) if answer else 0


class TestLargeBodies:
    """Requests that are inside every limit."""

    @pytest.mark.parametrize('chunk', [0, 4096, 65_536])
    @pytest.mark.parametrize('extra', [b'', LONG_HEAD])
    @pytest.mark.parametrize('size', SIZES)
    async def test_one_write(self, size, extra, chunk):
        """A request that arrives in one write is served."""
        request = write_request(size, extra=extra, chunk=chunk, close=True)
        async with serve() as port:
            answer = await port.send(request)
        assert read_status(answer) == 200
        assert answer.endswith(b'\r\n\r\n%d' % size)

    @pytest.mark.parametrize('size', SIZES)
    async def test_split_head(self, size):
        """A head in two writes is served; the second has the body, too."""
        request = write_request(size, close=True)
        async with serve() as port:
            answer = await port.send(request[:30], request[30:])
        assert answer.endswith(b'\r\n\r\n%d' % size)

    @pytest.mark.parametrize('chunk', [0, 4096])
    @pytest.mark.parametrize(
        'sizes', [*itertools.product((900, 100_000, 600_000), repeat=2)]
    )
    async def test_two_requests(self, sizes, chunk):
        """Two requests in one write are both served."""
        requests = [
            write_request(sizes[0], chunk=chunk),
            write_request(sizes[1], chunk=chunk, close=True),
        ]
        async with serve() as port:
            answer = await port.send(b''.join(requests))
        assert answer.count(b'200 OK') == 2
        assert answer.endswith(b'\r\n\r\n%d' % sizes[1])

    async def test_many_requests(self):
        """Pipelined bodies are served, whatever they add up to."""
        requests = [write_request(60_000) for _ in range(40)]
        requests.append(write_request(60_000, close=True))
        async with serve() as port:
            answer = await port.send(b''.join(requests))
        assert answer.count(b'200 OK') == 41


class TestBeyondLimits:
    """Requests beyond a limit, each with the status of its limit."""

    @pytest.mark.parametrize('chunk', [0, 65_536])
    @pytest.mark.parametrize('extra', [b'', LONG_HEAD])
    async def test_body(self, extra, chunk):
        """A body that is one byte too long is answered 413."""
        request = write_request(LIMITS.body_bytes + 1, extra=extra, chunk=chunk)
        async with serve() as port:
            assert read_status(await port.send(request)) == 413

    @pytest.mark.parametrize('end', [b'\r\n', b''])
    @pytest.mark.parametrize('size', [17_000, 400_000])
    async def test_head(self, size, end):
        """A head that is too long is answered 431, with or without its end."""
        head = b'GET / HTTP/1.1\r\nHost: a\r\nX: %b\r\n' % (b'x' * size)
        async with serve() as port:
            assert read_status(await port.send(head + end)) == 431

    async def test_head_after_a_body(self):
        """A whole request is served before a head without end is refused."""
        request = write_request(900)
        async with serve() as port:
            answer = await port.send(request + b'GET /' + b'x' * 17_000)
        assert answer.count(b'200 OK') == 1
        assert b'HTTP/1.1 431' in answer

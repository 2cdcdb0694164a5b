"""Tests of the bounds on clients, over real sockets and by replay."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fakes.ports import pick_address
from ragwortcourse.ingress.byte_budget import BudgetSpentError, ByteBudget
from ragwortcourse.ingress.client_limits import ClientLimits
from ragwortcourse.ingress.connection_cost import (
    ConnectionCost,
    choose_costliest,
)
from ragwortcourse.ingress.ingress import Ingress
from ragwortcourse.ingress.phase import Phase
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.processes.sites import open_site

LIMITS = ClientLimits(
    header_bytes=2000, body_bytes=1000, header_seconds=0.5, idle_seconds=1
)
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'


class Port:
    """A port whose handler returns the size of a body."""

    def __init__(self, *, most: int = 100, total: int = 10_000_000) -> None:
        self.address = pick_address()
        self.ingress = Ingress(
            budget=ByteBudget(total=total),
            read_limits=lambda: LIMITS,
            read_most=lambda: most,
        )
        self.handled = 0

    async def handle(self, request: web.Request) -> web.Response:
        """Answer after as many seconds as the path names."""
        body = await read_request_body(request)
        self.handled += 1
        await asyncio.sleep(float(request.path[1:] or 0))
        return web.Response(text=str(len(body)))

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client."""
        host, _, port = self.address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def send(self, *pieces: bytes, pause: float = 0) -> bytes:
        """Send pieces and return all that is answered until the end."""
        reader, writer = await self.connect()
        answer = asyncio.ensure_future(reader.read())
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause)
        async with asyncio.timeout(10):
            received = await answer
        writer.close()
        return received


@contextlib.asynccontextmanager
async def serve(**options: int) -> AsyncIterator[Port]:
    """Open a port for the time of the body."""
    port = Port(**options)
    runner = await open_site(
        address=port.address,
        routes=[web.route('*', '/{path:.*}', port.handle)],
        ingress=port.ingress,
        is_limited=True,
    )
    checking = asyncio.ensure_future(port.ingress.run())
    try:
        yield port
    finally:
        checking.cancel()
        await runner.cleanup()


def read_status(answer: bytes) -> int:
    """Read the status of an answer; zero if there is none."""
    return int(answer.split(b' ')[1]) if answer else 0


class TestLimits:
    """Limits of the desired state on one connection."""

    @pytest.mark.parametrize(
        ('pieces', 'status'),
        [
            ([HEAD, b'X: %b\r\n' % (b'x' * 3000)], 431),
            ([HEAD, b'X: %b\r\n\r\n' % (b'x' * 3000)], 431),
            ([HEAD, b'Content-Length: 1001\r\n\r\n'], 413),
            (
                [
                    HEAD,
                    b'Transfer-Encoding: chunked\r\n\r\n',
                    b'3e9\r\n%b\r\n' % bytes(1001),
                ],
                413,
            ),
            ([HEAD], 408),
            ([HEAD, b'Content-Length: 9\r\n\r\n', b'x'], 408),
        ],
    )
    async def test_statuses(self, pieces, status):
        """A client beyond a limit gets its status, and no handler runs."""
        async with serve() as port:
            assert read_status(await port.send(*pieces)) == status
            assert not port.handled

    async def test_slow_head(self):
        """A head that arrives byte by byte does not renew its time."""
        async with serve() as port:
            answer = await port.send(
                *(HEAD[n : n + 1] for n in range(20)), pause=0.05
            )
            assert read_status(answer) == 408

    async def test_idle(self):
        """A connection without a request ends, without an answer."""
        async with serve() as port:
            assert await port.send() == b''

    async def test_request_in_progress(self):
        """A request may take longer than idle connections are kept."""
        async with serve() as port:
            answer = await port.send(
                b'POST /2 HTTP/1.1\r\nHost: a\r\n',
                b'Content-Length: 0\r\nConnection: close\r\n\r\n',
            )
            assert read_status(answer) == 200

    async def test_reuse(self):
        """A connection is reused after four fifths of the idle limit."""
        request = HEAD + b'Content-Length: 0\r\n\r\n'
        async with serve() as port:
            answer = await port.send(request, request, pause=0.8)
            assert answer.count(b'200 OK') == 2

    async def test_returns_all(self):
        """Nothing stays in the budget after the connections have ended."""
        async with serve() as port:
            for pieces in ([HEAD], [HEAD, b'Content-Length: 2000\r\n\r\n']):
                await port.send(*pieces)
            await asyncio.sleep(0.1)
            assert not port.ingress.budget.used
            assert not port.ingress.budget.ending

    async def test_descriptors(self):
        """The connection that is idle for longest gives way to a new one."""
        async with serve(most=3) as port:
            opened = [await port.connect() for _ in range(4)]
            await asyncio.sleep(0.1)
            assert opened[0][0].at_eof() or await opened[0][0].read() == b''
            assert not opened[3][0].at_eof()
            for _, writer in opened:
                writer.close()


class TestByteBudget:
    """Claims of bytes."""

    async def test_reserve(self):
        """A reservation is returned also after an error, and never beyond."""
        budget = ByteBudget(total=1000)
        error = pytest.raises(BudgetSpentError)
        with error, budget.reserve(600), budget.reserve(600):
            raise AssertionError
        assert not budget.used


def make_cost(number: int, **changes: object) -> ConnectionCost:
    """Make the cost of a fast ordinary request, with some fields replaced."""
    usual: dict[str, object] = {
        'number': number,
        'client': f'client-{number}',
        'phase': Phase.BODY,
        'held': 50_000,
        'seconds': 0.2,
        'still_seconds': 0.01,
        'moved': 25_000,
    }
    return ConnectionCost(**{**usual, **changes})  # type: ignore[arg-type]


class TestChoice:
    """Choice of the connections that are closed."""

    def choose(self, costs, needed=100_000, client='new'):
        """Choose among connections with a budget of ten megabytes."""
        return list(
            choose_costliest(
                costs, client=client, needed=needed, total=10_000_000
            )
        )

    def test_replay(self):
        """Of a crowd only those are closed that stall with large bodies.

        300 ordinary requests of 40 clients run beside 12 that stay silent.
        """
        rng = random.Random(1)
        ordinary = [
            make_cost(n, client=f'c{n % 40}', seconds=rng.uniform(0, 1.5))
            for n in range(300)
        ]
        stalled = [
            make_cost(
                1000 + n,
                held=rng.randint(400_000, 800_000),
                seconds=rng.uniform(2, 60),
                still_seconds=rng.uniform(1, 60),
            )
            for n in range(12)
        ]
        costs = [*ordinary, *stalled]
        rng.shuffle(costs)
        for needed in (1, 100_000, 3_000_000):
            chosen = self.choose(costs, needed=needed)
            assert chosen
            assert min(chosen) >= 1000
        first = max(stalled, key=lambda cost: cost.byte_seconds)
        assert self.choose(costs) == [first.number]

    def test_running(self):
        """A request at a target is never closed: it may have run."""
        cost = make_cost(1, phase=Phase.RUNNING, still_seconds=9.0)
        assert not self.choose([cost], needed=1)

    def test_all_fast(self):
        """A new one is refused where all others make progress."""
        assert not self.choose([make_cost(n) for n in range(100)])

    def test_slow_sender(self):
        """A body that arrives byte by byte counts as slow."""
        slow = make_cost(1, held=200_000, seconds=9.0, moved=900)
        assert self.choose([make_cost(2), slow]) == [1]

    def test_share_of_one_client(self):
        """A client with most of the budget gives way to another client."""
        greedy = [make_cost(n, client='one', held=1_000_000) for n in range(7)]
        assert self.choose(greedy)
        assert not self.choose(greedy, client='one')

    def test_too_little(self):
        """Nobody is closed if that would not make enough room."""
        cost = make_cost(1, still_seconds=9.0)
        assert not self.choose([cost], needed=9_000_000)

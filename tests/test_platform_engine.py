"""Tests of :mod:`ragwortcourse.platform.engine`."""

import asyncio
import contextlib
import logging
import re
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import MODEL, make_settings
from ragwortcourse.identifiers import ServiceName
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.kept_reads import KeptReads
from ragwortcourse.processes.loader_daemon import build_loader_daemon
from ragwortcourse.processes.sessions import open_read_session
from ragwortcourse.settings import LoaderSettings, Role
from ragwortcourse.weights.engine_port import LoadOrderOutcome

REPORT = b'{"busy":false,"running":0}'
REFUSED = 409


class RepeatingEngine:
    """Engine that refuses everything but reports, and repeats each answer.

    The second copy arrives as the next request on that connection is read.
    """

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        copy = b''
        while head := await self._read_head(reader):
            writer.write(copy)
            is_report = head.startswith(b'GET /report')
            copy = self._write_answer(
                200 if is_report else REFUSED, REPORT if is_report else b''
            )
            writer.write(copy)
        writer.close()

    async def _read_head(self, reader) -> bytes:
        """Read one request; return its head, empty at the end."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return b''
        length = re.search(rb'Content-Length: (\d+)', head)
        if length is not None:
            await reader.readexactly(int(length[1]))
        return head

    def _write_answer(self, status: int, body: bytes) -> bytes:
        return (
            b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n' % (status, len(body))
        ) + body


@contextlib.asynccontextmanager
async def serve_engine(*routes: web.RouteDef) -> AsyncIterator[Engine]:
    """Serve the routes of an engine, and yield a client of it."""
    app = web.Application()
    app.add_routes(routes)
    async with TestServer(app) as server, ClientSession() as session:
        yield Engine(
            session=session,
            reports=session,
            address=f'127.0.0.1:{server.port}',
        )


class TestConnections:
    """Calls to an engine that repeats answers late."""

    @pytest.fixture
    async def engine(self):
        """Port of a loader to such an engine, after a report."""
        server = await asyncio.start_server(
            RepeatingEngine().serve, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        daemon = build_loader_daemon(
            settings=make_settings(
                role=Role.LOADER,
                loader=LoaderSettings(
                    engine=f'127.0.0.1:{port}',
                    service=ServiceName('engines'),
                    link_mbps=100,
                ),
            )
        )
        engine = daemon.loader_weights.ports.engine
        assert await engine.read_report() is not None
        yield engine
        await daemon.stop()
        server.close()

    async def test_late_copy_is_no_answer_to_an_order(self, engine):
        """A refused order is not taken to be in effect after a report."""
        outcome = await engine.order_load(MODEL, 2, None)
        assert outcome is LoadOrderOutcome.CONFLICT

    async def test_late_copy_is_no_answer_to_a_chunk(self, engine):
        """A refused chunk does not count as staged after a report."""
        assert not await engine.write_staged(MODEL, 0, b'chunk')

    async def test_late_copy_is_no_staged_chunk(self, engine):
        """A report is not taken for a chunk."""
        assert await engine.read_staged(MODEL, 0) is None


class CopyingStage:
    """Engine with staged chunks that sends each answer twice, late.

    :ivar chunks: staged chunks, by request line.
    :ivar connections: number of connections so far.
    :ivar is_copying: whether answers are sent twice.
    """

    def __init__(self) -> None:
        self.chunks: dict[str, bytes] = {}
        self.connections = 0
        self.is_copying = False

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        copy = b''
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(copy)
                body = self.chunks[head.split(b' ')[1].decode()]
                answer = (
                    b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n' % len(body)
                ) + body
                writer.write(answer)
                copy = answer if self.is_copying else b''
        writer.close()


class TestStagedReads:
    """Reads of staged chunks on kept connections."""

    @pytest.fixture
    async def stage(self):
        """Provide an engine with 96 staged chunks."""
        stage = CopyingStage()
        for index in range(96):
            path = f'/stage-get/{MODEL}?num={index}'
            stage.chunks[path] = b'chunk %d' % index
        return stage

    @pytest.fixture
    async def engine(self, stage):
        """Provide a loader's port to it."""
        server = await asyncio.start_server(stage.serve, '127.0.0.1', 0)
        reads = KeptReads(open_session=open_read_session)
        async with ClientSession() as session:
            yield Engine(
                session=session,
                reports=session,
                reads=reads,
                address=f'127.0.0.1:{server.sockets[0].getsockname()[1]}',
            )
        await reads.close()
        server.close()

    async def test_connections(self, stage, engine):
        """A check of all chunks opens a few connections, not one a chunk."""
        for index in range(96):
            content = await engine.read_staged(MODEL, index)
            assert content == b'chunk %d' % index
        assert stage.connections <= 4

    async def test_late_copy_of_the_same_chunk(self, stage, engine):
        """A copy of an old answer does not pass for the present chunk.

        A chunk that rotted between two checks would be loaded.
        """
        stage.is_copying = True
        assert await engine.read_staged(MODEL, 0) == b'chunk 0'
        stage.chunks[f'/stage-get/{MODEL}?num=0'] = b'rotten'
        assert await engine.read_staged(MODEL, 0) == b'rotten'

    async def test_late_copy_of_another_chunk(self, stage, engine):
        """A copy is the answer for another chunk, which its digest tells."""
        stage.is_copying = True
        read = [await engine.read_staged(MODEL, index) for index in range(8)]
        assert read[0] == b'chunk 0'
        for index, content in enumerate(read):
            assert content in {b'chunk %d' % index, b'chunk %d' % (index - 1)}


class TestOddAnswers:
    """Answers of an engine that are nested too deeply."""

    @pytest.fixture
    async def engine(self):
        """Client of an engine that gives one such answer to everything."""

        async def send_deep(request):
            return web.Response(body=b'{"a":%s}' % (b'[' * 100_000))

        async with serve_engine(web.get('/{path:.*}', send_deep)) as engine:
            yield engine

    async def test_deeply_nested_report_ends_the_loader(self, engine, caplog):
        """The report counts as none, and the log says why."""
        caplog.set_level(logging.INFO)
        assert await engine.read_report() is None
        assert 'unreadable report' in caplog.text

    async def test_deeply_nested_list_of_chunks(self, engine, caplog):
        """The list counts as empty, and the log says why."""
        caplog.set_level(logging.INFO)
        assert not await engine.list_staged(MODEL)
        assert 'unreadable list' in caplog.text


class TestOrderCondition:
    """Condition of an order on the number of orders accepted before."""

    @pytest.fixture
    async def orders(self):
        """Bodies of the orders that arrive."""
        return []

    @pytest.fixture
    async def engine(self, orders):
        """Client of an engine that has accepted three orders."""

        async def report(request):
            return web.json_response({'busy': False, 'running': 0, 'seq': 3})

        async def order(request):
            orders.append(await request.json())
            return web.Response(status=202)

        routes = (web.get('/report', report), web.post('/order', order))
        async with serve_engine(*routes) as engine:
            yield engine

    async def test_order_states_the_number_of_the_report(self, engine, orders):
        """The engine can refuse an order that arrives after another one."""
        report = await engine.read_report()
        outcome = await engine.order_load(MODEL, 2, report.orders)
        assert outcome is LoadOrderOutcome.BEGUN
        assert [order['expected_rev'] for order in orders] == [3]

    async def test_unknown_number(self, engine, orders):
        """An order to an engine that states no number has no condition."""
        await engine.order_load(MODEL, 2, None)
        assert 'expected_rev' not in orders[0]

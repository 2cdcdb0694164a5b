"""Tests of :mod:`ragwortcourse.platform.engine`."""

import asyncio
import re

import pytest

from fakes.fleet_parts import MODEL, make_settings
from ragwortcourse.identifiers import ServiceName
from ragwortcourse.processes.loader_daemon import build_loader_daemon
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
        outcome = await engine.order_load(MODEL, 2)
        assert outcome is LoadOrderOutcome.CONFLICT

    async def test_late_copy_is_no_answer_to_a_chunk(self, engine):
        """A refused chunk does not count as staged after a report."""
        assert not await engine.write_staged(MODEL, 0, b'chunk')

    async def test_late_copy_is_no_staged_chunk(self, engine):
        """A report is not taken for a chunk."""
        assert await engine.read_staged(MODEL, 0) is None

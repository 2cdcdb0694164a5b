"""Tests of :mod:`ragwortcourse.bodies` and of its readers."""

import asyncio

import aiohttp
import pytest

from fakes.fleet_parts import MODEL
from fakes.fleet_target import FleetTarget, Received, ScriptedConnection
from ragwortcourse.bodies import (
    LARGE_BODY_BYTES,
    BodyTooLongError,
    read_body,
)
from ragwortcourse.membership.hosts import HostsUnavailable
from ragwortcourse.membership.http_hosts import build_http_hosts
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreSilent
from ragwortcourse.platform.weight_source import WeightSource
from ragwortcourse.storage.http_table import build_http_table
from ragwortcourse.storage.table import ReadFailed, TableKey
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.peer_reach import PeerReach

# What a connection holds besides.
CONNECTION_BYTES = 16 * 1024 * 1024
PIECE = b'x' * 65_536


class Flood:
    """Server that sends a body without end and counts its bytes."""

    def __init__(self) -> None:
        self.sent = 0
        self.target = FleetTarget(self._answer)

    async def _answer(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        await connection.begin(received)
        while True:
            await connection.send(PIECE)
            self.sent += len(PIECE)
            await asyncio.sleep(0)


@pytest.fixture
async def flood():
    """Server that runs during the test."""
    opened = Flood()
    await opened.target.start()
    yield opened
    await opened.target.stop()


@pytest.fixture
async def session():
    """HTTP session that is closed after the test."""
    async with aiohttp.ClientSession() as opened:
        yield opened


class TestReadBody:
    """Bodies up to a limit."""

    async def test_endless(self, flood, session):
        """A body over the limit is given up."""
        async with session.get(f'http://{flood.target.address}/') as response:
            with pytest.raises(BodyTooLongError, match='longer than 100 '):
                await read_body(response, limit=100)


class TestReaders:
    """Readers of the store, the origin, engines and other daemons."""

    @pytest.fixture(autouse=True)
    def check_bytes(self, flood):
        """No reader takes more than its limit."""
        yield
        assert 0 < flood.sent <= LARGE_BODY_BYTES + CONNECTION_BYTES

    async def test_store(self, flood, session):
        """A table without end is a failure of the store."""
        store = Store(session=session, address=flood.target.address)
        answer = await store.read_table('op')
        assert isinstance(answer, StoreSilent)
        assert 'longer than' in answer.detail

    async def test_origin(self, flood, session):
        """A manifest without end is no manifest."""
        source = WeightSource(session=session)
        address = flood.target.address
        assert await source.read_manifest(address, MODEL, 2) is None

    async def test_engine(self, flood, session):
        """A report without end is no report."""
        engine = Engine(
            session=session, reports=session, address=flood.target.address
        )
        assert await engine.read_report() is None

    async def test_peer(self, flood, session):
        """A manifest without end of another daemon is not taken."""
        manifest = await fetch_manifest(
            session=session,
            reach=PeerReach(),
            addresses=[flood.target.address],
            model=MODEL,
            version=2,
        )
        assert manifest is None

    async def test_table(self, flood, session):
        """A row without end is a failed read of the table service."""
        table = build_http_table(
            session=session, base_url=f'http://{flood.target.address}'
        )
        assert isinstance(await table.read(TableKey('a')), ReadFailed)

    async def test_hosts(self, flood, session):
        """A list of hosts without end is no list."""
        hosts = build_http_hosts(
            session=session, base_url=f'http://{flood.target.address}'
        )
        assert isinstance(await hosts.read(), HostsUnavailable)

"""Tests of the HTTP clients and routes of daemons with odd bodies."""

import contextlib

import aiohttp
import pytest
from aiohttp import test_utils, web

from fakes.memory_control import ControlFleet
from ragwortcourse.engines.engine import EngineSilent
from ragwortcourse.engines.http_engine import build_http_engine
from ragwortcourse.entry.claim_batch_router import build_http_batcher_client
from ragwortcourse.entry.crasher_peers import build_crasher_routes
from ragwortcourse.entry.crashers import CrasherRegistry
from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.entry.record_relay import build_record_relay
from ragwortcourse.identifiers import AttemptId, RequestId
from ragwortcourse.membership.heartbeats import build_heartbeat
from ragwortcourse.membership.hosts import HostsListed, HostsUnavailable
from ragwortcourse.membership.http_daemons import build_http_daemons
from ragwortcourse.membership.http_hosts import build_http_hosts
from ragwortcourse.membership.routes import build_exchange_routes
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.storage.http_table import build_http_table
from ragwortcourse.storage.table import (
    CommitUnknown,
    ConditionalWrite,
    ReadFailed,
    TableKey,
)

ODD = [b'', b'odd', b'{"a":"\xff"', b'{"a":%s}' % (b'[' * 100_000)]
DEEP = b'[' * 100_000 + b']' * 100_000
HOST = (
    b'{"host":"h","role":"entry","daemon":"e-1","address":"10.0.0.1:80",'
    b'"failure_domain":"a","region":"r"}'
)
WRITE = ConditionalWrite(key=TableKey('a'), content=b'', expected_version=1)


@contextlib.asynccontextmanager
async def serve(routes):
    """Yield a session and the address of a server with some routes."""
    app = web.Application()
    app.add_routes(routes)
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        yield session, f'{server.host}:{server.port}'


@contextlib.asynccontextmanager
async def serve_body(body: bytes):
    """Yield a session and the address of a server that sends one body."""

    async def send(request):
        return web.Response(body=body)

    async with serve([web.route('*', '/{path:.*}', send)]) as served:
        yield served


@pytest.mark.parametrize('body', ODD)
class TestAnswers:
    """Answers that can't be read; each client tells of its failure."""

    async def test_heartbeat(self, body):
        """A daemon counts as unavailable."""
        fleet = ControlFleet()
        entry = fleet.start_entry('e-0', 'milano-a')
        async with serve_body(body) as (session, address):
            port = build_http_daemons(session=session)
            answer = await port.exchange(
                address, build_heartbeat(entry.membership)
            )
        await fleet.stop()
        assert isinstance(answer, PeerUnavailable)

    async def test_hosts(self, body):
        """The list of hosts counts as unavailable."""
        async with serve_body(body) as (session, address):
            port = build_http_hosts(
                session=session, base_url=f'http://{address}/hosts'
            )
            assert isinstance(await port.read(), HostsUnavailable)

    async def test_table(self, body):
        """A read has failed, and the outcome of a write is unknown."""
        async with serve_body(body) as (session, address):
            table = build_http_table(
                session=session, base_url=f'http://{address}'
            )
            assert isinstance(await table.read(WRITE.key), ReadFailed)
            assert isinstance(await table.commit((WRITE,)), CommitUnknown)

    async def test_agent(self, body):
        """An agent counts as unavailable."""
        async with serve_body(body) as (session, address):
            port = build_http_agents(session=session)
            answer = await port.bar(address, AttemptId('a1'), 1)
        assert isinstance(answer, PeerUnavailable)

    async def test_record(self, body):
        """A daemon with the record of a request counts as unavailable."""
        async with serve_body(body) as (session, address):
            relay = build_record_relay(session=session)
            answer = await relay(address, RequestId('r1'))
        assert isinstance(answer, PeerUnavailable)

    async def test_claim(self, body):
        """The outcome of a claim is unknown."""
        async with serve_body(body) as (session, address):
            send = build_http_batcher_client(session=session)
            assert isinstance(await send(address, WRITE), CommitUnknown)

    async def test_engine(self, body):
        """An engine counts as silent."""
        async with serve_body(body) as (session, address):
            engine = build_http_engine(
                session=session, base_url=f'http://{address}'
            )
            assert isinstance(await engine.describe(), EngineSilent)


@pytest.mark.parametrize('body', ODD)
class TestRequests:
    """Requests of other daemons that can't be read are answered 400."""

    async def test_heartbeat(self, body):
        """An odd heartbeat changes nothing."""
        fleet = ControlFleet()
        entry = fleet.start_entry('e-0', 'milano-a')
        routes = build_exchange_routes(membership=entry.membership)
        assert await self._post(routes, 'exchange', body) == 400
        await fleet.stop()

    async def test_crasher(self, body):
        """Odd evidence changes nothing."""
        routes = build_crasher_routes(crashers=CrasherRegistry())
        assert await self._post(routes, 'crashers', body) == 400

    @staticmethod
    async def _post(routes, path, body):
        async with serve(routes) as (session, address):
            url = f'http://{address}/{path}'
            async with session.post(url, data=body) as answer:
                return answer.status


class TestHosts:
    """The platform's list of hosts with odd entries."""

    @pytest.mark.parametrize(
        'odd',
        [
            b'1',
            b'{"host":"h"}',
            b'{"a":%s}' % DEEP,
            DEEP,
            HOST.replace(b'10.0.0.1:80', b'127.0.0.1:99999'),
        ],
    )
    async def test_odd_entry_hides_the_others(self, odd, caplog):
        """The entries beside an odd one are read, and it is logged."""
        body = b'[%s,%s,%s]' % (HOST, odd, HOST)
        async with serve_body(body) as (session, address):
            port = build_http_hosts(
                session=session, base_url=f'http://{address}/hosts'
            )
            listed = await port.read()
        assert isinstance(listed, HostsListed)
        assert [record.daemon for record in listed.records] == ['e-1', 'e-1']
        assert 'odd entry in the list of hosts' in caplog.text

"""Tests of :mod:`ragwortcourse.processes.service`, over real sockets."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web

from fakes import fleet_parts
from fakes.agents import make_agent, make_service_attempt, make_settings
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine
from fakes.ports import pick_address
from fakes.soak_proxy import LinkFault, LoopbackProxy
from ragwortcourse.agent import attempt_records
from ragwortcourse.agent.lifecycle import drain_agent
from ragwortcourse.agent.server import build_agent_routes
from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.messages.attempt import (
    AttemptAnswer,
    AttemptLost,
    AttemptRefused,
)
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.peer_port import DaemonPort
from ragwortcourse.processes import service
from ragwortcourse.processes.assembly import BuiltDaemon, ListenerPlan
from ragwortcourse.settings import ListenSettings

# Longer than the daemon keeps idle connections open.
TRIP_SECONDS = 0.4
LAST_CONNECTIONS_SECONDS = 0.2
OUTCOME_QUERY_SECONDS = 1.0
NOBODY = DaemonPort(fetch_index=None, fetch_part=None, exchange=None)


class StoppingAgent:
    """Agent without background tasks, in place of the service's daemon."""

    last_connections_seconds = LAST_CONNECTIONS_SECONDS

    def __init__(self, monkeypatch) -> None:
        engine = MemoryEngine(
            is_model_engine=False, load=EngineLoad(latency=0.01)
        )
        with monkeypatch.context() as patch:
            # An agent cannot prove anything about requests before its start, so
            # the start is set to time zero.
            patch.setattr(attempt_records, 'read_clock', lambda: 0.0)
            self.agent = make_agent(engine)

    @property
    def peer_routes(self):
        """Return the routes of the agent."""
        return build_agent_routes(agent=self.agent, daemon_port=NOBODY)

    def start(self, tasks):
        """Start no background tasks."""

    def find_unready_reason(self):
        """Return none: the agent is ready."""

    async def drain(self):
        """Drain the agent."""
        await drain_agent(self.agent)

    async def stop(self):
        """Stop the agent."""
        await self.agent.stop()


@contextlib.asynccontextmanager
async def run_agent(monkeypatch, tmp_path):
    """Run a service with an agent, and a proxy that can delay calls."""
    address = pick_address()
    stopping = StoppingAgent(monkeypatch)
    monkeypatch.setattr(
        service,
        'build_daemon',
        lambda **_: BuiltDaemon(
            daemon=stopping,
            ports=(
                ListenerPlan(
                    key='peers', address=address, routes=stopping.peer_routes
                ),
            ),
        ),
    )
    settings = msgspec.structs.replace(
        make_settings(),
        listen=ListenSettings(peers=address, watch=pick_address()),
    )
    daemon = service.DaemonService(
        settings=settings, path=tmp_path / 'settings.toml'
    )
    daemon.set_loop(asyncio.get_running_loop())
    starting = asyncio.create_task(daemon.start())
    await daemon.start_event.wait()
    proxy = LoopbackProxy(server=address)
    proxy.delay_seconds = TRIP_SECONDS
    await proxy.start()
    yield daemon, proxy
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    await proxy.stop()


class StoppingForwarder:
    """Forwarder without tasks; peers wait for an answer without end."""

    last_connections_seconds = 0

    def start(self, tasks):
        """Start no background tasks."""

    def find_unready_reason(self):
        """Return none: the forwarder is ready."""

    async def drain(self):
        """Have nothing in progress."""

    async def stop(self):
        """Have nothing to release."""

    async def answer(self, _request):
        """Answer a caller."""
        return web.Response()

    async def wait(self, _request):
        """Leave a peer without an answer."""
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def run_forwarder(monkeypatch, tmp_path):
    """Run a service with a forwarder."""
    listen = ListenSettings(
        peers=pick_address(), watch=pick_address(), callers=pick_address()
    )
    forwarder = StoppingForwarder()
    ports = (
        ListenerPlan(
            key='peers',
            address=listen.peers,
            routes=[web.get('/', forwarder.wait)],
        ),
        ListenerPlan(
            key='callers',
            address=listen.callers,
            routes=[web.get('/', forwarder.answer)],
        ),
    )
    monkeypatch.setattr(
        service,
        'build_daemon',
        lambda **_: BuiltDaemon(daemon=forwarder, ports=ports),
    )
    daemon = service.DaemonService(
        settings=fleet_parts.make_settings(listen=listen),
        path=tmp_path / 'settings.toml',
    )
    daemon.set_loop(asyncio.get_running_loop())
    starting = asyncio.create_task(daemon.start())
    await daemon.start_event.wait()
    yield daemon
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)


async def open_connection(address):
    """Send a request on a connection of its own, and leave it open."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    return reader, writer


class TestForcedClose:
    """Connections of a forwarder at the end of its stop."""

    async def test_idle_caller(self, monkeypatch, tmp_path):
        """An idle connection ends although a peer still waits.

        A request on it would otherwise get no answer until the process ends.
        """
        async with run_forwarder(monkeypatch, tmp_path) as daemon:
            listen = daemon.settings.listen
            reader, writer = await open_connection(listen.callers)
            assert b'200 OK' in await reader.readuntil(b'\r\n\r\n')
            _, waiting = await open_connection(listen.peers)
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(daemon.stop())
            async with asyncio.timeout(5):
                assert not await reader.read()
            assert not stopping.done()
            await stopping
            writer.close()
            waiting.close()


class TestStop:
    """Requests that are on the way to a daemon that stops."""

    @pytest.fixture
    async def session(self):
        """Open the client session of an entry daemon."""
        async with aiohttp.ClientSession() as opened:
            yield opened

    async def test_on_a_kept_connection(self, monkeypatch, tmp_path, session):
        """A request lost with its idle connection is proven not run.

        The daemon closes the connection while the request is on the way, and
        still answers the query for the outcome.
        """
        port = build_http_agents(session=session)
        async with run_agent(monkeypatch, tmp_path) as (daemon, proxy):
            first = await port.start(proxy.address, make_service_attempt())
            assert isinstance(first, AttemptAnswer)
            assert [chunk async for chunk in first.body]
            proxy.fault = LinkFault.DELAYED
            stopping = asyncio.create_task(daemon.stop())
            attempt = make_service_attempt()
            lost = await port.start(proxy.address, attempt)
            assert isinstance(lost, AttemptLost)
            report = await port.bar(proxy.address, attempt.attempt, 1)
            await stopping
        assert isinstance(report, AttemptReport)
        assert report.proves_not_run

    async def test_on_a_new_connection(self, monkeypatch, tmp_path, session):
        """A request on the last accepted connection is refused, not lost."""
        monkeypatch.setattr(
            service,
            'OUTCOME_QUERY_SECONDS',
            OUTCOME_QUERY_SECONDS,
            raising=False,
        )
        port = build_http_agents(session=session)
        async with run_agent(monkeypatch, tmp_path) as (daemon, proxy):
            proxy.fault = LinkFault.DELAYED
            stopping = asyncio.create_task(daemon.stop())
            closes_in = LAST_CONNECTIONS_SECONDS + OUTCOME_QUERY_SECONDS
            await asyncio.sleep(closes_in - TRIP_SECONDS / 2)
            refused = await port.start(proxy.address, make_service_attempt())
            await stopping
        assert isinstance(refused, AttemptRefused)
        assert refused.outcome.code == 'leaving'

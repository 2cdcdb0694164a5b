"""Tests of :mod:`ragwortcourse.processes.service`, over real sockets."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

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

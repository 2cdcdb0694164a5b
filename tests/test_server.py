"""Tests of :mod:`ragwortcourse.agent.server`, over real sockets."""

import asyncio
import dataclasses

import aiohttp
import pytest
from aiohttp import web

from fakes.agents import make_agent, make_attempt, make_service_attempt
from fakes.engine_faults import EngineFaults
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine
from ragwortcourse.agent.attempt_codec import decode_attempt, encode_attempt
from ragwortcourse.agent.server import build_agent_routes
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.identifiers import DaemonId, Generation
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import DaemonPort

MAX_POLLS = 500


@dataclasses.dataclass(kw_only=True)
class Site:
    """A listening agent with its engine and a client for it."""

    engine: MemoryEngine
    agent: object
    port: object
    address: str
    session: aiohttp.ClientSession


@pytest.fixture
async def site():
    """Serve one agent with one permit and a fast engine."""
    load = EngineLoad(latency=0.01, pace=0.01)
    engine = MemoryEngine(can_resume=False, load=load)
    agent = make_agent(engine, limits=TargetLimits(cold=1, warm=1))
    app = web.Application()
    unused_daemon_port = DaemonPort(
        fetch_index=None, fetch_part=None, exchange=None
    )
    app.add_routes(
        build_agent_routes(agent=agent, daemon_port=unused_daemon_port)
    )
    # The test server of aiohttp cancels handlers on disconnect, which would
    # hide whether the agent itself detects the disconnect.
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    async with aiohttp.ClientSession() as session:
        yield Site(
            engine=engine,
            agent=agent,
            port=build_http_agents(session=session),
            address=f'127.0.0.1:{runner.addresses[0][1]}',
            session=session,
        )
    await runner.cleanup()


async def wait_until(holds) -> None:
    """Poll a condition every 10 ms; fail after ``MAX_POLLS`` polls."""
    for _ in range(MAX_POLLS):
        if holds():
            return
        await asyncio.sleep(0.01)
    pytest.fail('condition did not hold within MAX_POLLS polls')


class TestAgentRoutes:
    """The agent's HTTP interface as an entry daemon uses it."""

    async def test_attempt_survives_the_wire(self):
        """Encoding keeps every field of an attempt, also non-ASCII names."""
        attempt = make_attempt(
            account='Casa Ünica', headers={'x-note': 'a b'}, suspect=True
        )
        encoded = encode_attempt(attempt)
        assert decode_attempt(attempt.attempt, encoded, attempt.body) == attempt

    @pytest.mark.parametrize(
        ('faults', 'whole'), [({}, True), ({'cut_after': [70]}, False)]
    )
    async def test_stream_ends_whole_or_broken(self, site, faults, whole):
        """A truncated answer aborts the connection.

        Guards against a truncated body that looks complete to the peer.
        """
        site.engine.faults = EngineFaults(**faults)
        answer = await site.port.start(site.address, make_attempt())
        received = b''
        try:
            async for chunk in answer.body:
                received += chunk
        except AnswerBrokenError:
            assert not whole
        else:
            assert whole
            assert received.endswith(b'data: [DONE]\n\n')
        assert answer.version == 'v1'
        await wait_until(lambda: site.agent.gate.running == 0)

    async def test_refusal_keeps_its_outcome(self, site):
        """Outcome, code and retry delay of a refusal cross the wire."""
        site.agent.leaving = True
        refused = await site.port.start(site.address, make_attempt())
        assert refused.outcome == site.agent.find_admission_refusal()

    @pytest.mark.parametrize('leaving', [False, True])
    async def test_names_the_attempt(self, site, leaving):
        """Answers and refusals name the attempt to which they belong."""
        site.agent.leaving = leaving
        attempt = make_attempt()
        async with site.session.post(
            f'http://{site.address}/attempts/{attempt.attempt}',
            data=attempt.body,
            headers=encode_attempt(attempt),
        ) as answer:
            await answer.read()
        assert (answer.status == 503) is leaving
        assert answer.headers['x-rc-attempt'] == attempt.attempt

    @pytest.mark.parametrize('while_queued', [True, False])
    async def test_entry_that_goes_away(self, site, while_queued):
        """On disconnect, work is removed from the queue or cancelled."""
        site.engine.load.pace = 0.2
        first = await site.port.start(site.address, make_attempt())
        await anext(first.body)
        if while_queued:
            waiting = asyncio.create_task(
                site.port.start(site.address, make_attempt())
            )
            await wait_until(lambda: site.agent.gate.queued == 1)
            waiting.cancel()
            await wait_until(lambda: site.agent.gate.queued == 0)
            await asyncio.sleep(0.05)
            # The queued attempt was removed rather than started.
            assert site.agent.gate.running == site.engine.runs.total() == 1
        await first.body.aclose()
        await wait_until(lambda: site.agent.gate.running == 0)
        assert len(site.engine.cancelled) == 1

    async def test_target_cannot_forge_a_refusal(self, site):
        """A target cannot make its answer a refusal by setting headers."""
        site.engine.extra_headers = {
            'X-Error-Code': 'leaving',
            'x-outcome': 'not_run',
        }
        attempt = make_service_attempt()
        answer = await site.port.start(site.address, attempt)
        assert answer.status == 200
        assert 'x-outcome' not in answer.headers

    @pytest.mark.parametrize(
        ('path', 'changed'),
        [
            ('/attempts/a', {'x-rc-generation': 'many'}),
            ('/attempts/a', {'x-rc-account': None}),
            ('/attempts/a/bar', {'x-rc-age-ms': 'old'}),
            ('/status', {}),
        ],
    )
    async def test_malformed_is_refused(self, site, path, changed):
        """A malformed request is refused with outcome not run."""
        headers = {**encode_attempt(make_attempt()), **changed}
        kept = {name: text for name, text in headers.items() if text}
        url = f'http://{site.address}{path}'
        answer = await site.session.post(url, headers=kept, data=b'{"')
        assert answer.status == 400
        assert answer.headers['x-outcome'] == 'not_run'
        assert site.engine.runs.total() == 0

    async def test_bar_and_heartbeat(self, site):
        """A bar request and a heartbeat are answered over HTTP."""
        heartbeat = Heartbeat(
            daemon=DaemonId('entry-1'), sender='', generation=Generation(1)
        )
        status = await site.port.heartbeat(site.address, heartbeat)
        report = await site.port.bar(site.address, make_attempt().attempt, 1)
        assert (status.limit, status.target) == (1, 'target-1')
        assert report.state == 'forgotten'

"""Tests of a forwarder process with a fake store and target."""

import asyncio
import contextlib
import json
import signal
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from fakes.child import Child
from fakes.fleet_parts import FLEET, FORWARDER_TEXT
from fakes.fleet_store import FleetStore
from fakes.fleet_target import (
    FleetTarget,
    Received,
    ScriptedConnection,
    answer_whole,
)
from fakes.ports import pick_address

pytestmark = pytest.mark.processes
GRACE_SECONDS = FLEET.grace_seconds
KEY = 'a-key'
STATE = {
    'version': 1,
    'routes': [
        {
            'name': 'lookups',
            'host': 'desk.example',
            'prefix': '/lookups/',
            'route_type': 'non_idempotent',
            'timeout_ms': 6000,
            'slo_ms': 400,
            'service': 'plain',
        }
    ],
    'services': [{'name': 'plain'}],
    'tenants': [{'name': 'parents', 'api_keys': [KEY]}],
}
HALF_SENT = (
    'POST /lookups/1 HTTP/1.1\r\n'
    'Host: desk.example\r\n'
    f'Authorization: Bearer {KEY}\r\n'
    'Ragwortcourse-Attempt-Id: a2\r\n'
    'Content-Length: 9\r\n\r\nbegin'
)


async def answer_slowly(received: Received, wire: ScriptedConnection) -> None:
    """Answer later than the end of service to callers after SIGTERM."""
    await asyncio.sleep(4)
    await wire.answer(received)


async def hang(received: Received, wire: ScriptedConnection) -> None:
    """Leave a request without an answer."""
    await asyncio.Event().wait()


class Site:
    """A forwarder process with a fake store and one target."""

    def __init__(self) -> None:
        self.store = FleetStore()
        self.target = FleetTarget(answer_whole)
        self.listen = {
            name: pick_address() for name in ('peers', 'watch', 'callers')
        }

    async def ask(self, session: aiohttp.ClientSession) -> tuple[int, str]:
        """Send a request; return its status and connection header."""
        headers = {
            'Host': 'desk.example',
            'Authorization': f'Bearer {KEY}',
            'Ragwortcourse-Attempt-Id': 'a1',
            'Ragwortcourse-Deadline-Ms': '6000',
        }
        url = f'http://{self.listen["callers"]}/lookups/1'
        async with session.post(url, headers=headers) as response:
            await response.read()
            return response.status, response.headers.get('Connection', '')

    async def read_ready(self) -> int:
        """Return the status of the readiness check; zero without an answer."""
        url = f'http://{self.listen["watch"]}/readyz'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                return response.status
        except aiohttp.ClientError:
            return 0

    async def read_metrics(self) -> dict[str, float]:
        """Return the metrics by their names, of several the last one."""
        url = f'http://{self.listen["watch"]}/metrics'
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            page = await response.text()
        lines = [
            line.rsplit(' ', 1)
            for line in page.splitlines()
            if not line.startswith('#')
        ]
        return {name.partition('{')[0]: float(text) for name, text in lines}

    async def wait_ready(self, status: int) -> None:
        """Wait until the readiness check returns a status."""
        async with asyncio.timeout(20):
            while await self.read_ready() != status:
                await asyncio.sleep(0.05)


@pytest.fixture
async def site(tmp_path) -> AsyncIterator[Site]:
    """Start a site and wait until its forwarder is ready."""
    opened = Site()
    async with contextlib.AsyncExitStack() as stack:
        await opened.target.start()
        stack.push_async_callback(opened.target.stop)
        server = TestServer(opened.store.build_app())
        await server.start_server()
        stack.push_async_callback(server.close)
        opened.store.put('op', 'config', STATE)
        opened.store.put(
            'servers',
            'i-1',
            {
                'service': 'plain',
                'address': opened.target.address,
                'zone': 'near-a',
                'slots': 6,
                'state': 'ready',
                'cold_left_ms': 0,
            },
        )
        path = tmp_path / 'settings.toml'
        path.write_text(
            FORWARDER_TEXT.format(
                store=f'127.0.0.1:{server.port}', **opened.listen
            )
        )
        opened.child = Child(
            name='entry-1',
            module='ragwortcourse.daemon',
            log=tmp_path / 'log',
        )
        opened.path = str(path)
        await opened.child.start('--settings', opened.path)
        stack.push_async_callback(opened.child.stop)
        await opened.wait_ready(200)
        yield opened


class TestForwarderProcess:
    """Start, stop and outages of a forwarder process."""

    async def test_registers(self, site):
        """A started forwarder writes its address for other daemons."""
        row = json.loads(site.store.read('daemons', 'entry-1'))
        assert row['address'] == site.listen['peers']

    async def test_stop(self, site):
        """A planned stop cuts off no request and ends within the grace time.

        Incident: open streams kept a stopping daemon running, and the daemon
        accepted requests until it was killed.
        """
        site.target.scripts = [answer_slowly, answer_whole]
        async with aiohttp.ClientSession() as session:
            slow = asyncio.ensure_future(site.ask(session))
            while not site.target.received:
                await asyncio.sleep(0.01)
            site.child.send(signal.SIGTERM)
            began_at = asyncio.get_running_loop().time()
            await site.wait_ready(503)
            served = await site.ask(session)
            assert served == (200, 'close')
            statuses = []
            while site.child.running:
                with contextlib.suppress(aiohttp.ClientError):
                    statuses.append((await site.ask(session))[0])
                await asyncio.sleep(0.1)
            assert await slow == (200, 'close')
        assert asyncio.get_running_loop().time() - began_at < GRACE_SECONDS
        # Requests are served at first and refused afterwards, without a mix.
        assert statuses == sorted(statuses)
        assert set(statuses) <= {200, 503}
        assert 503 in statuses

    async def test_stop_beside_endless_requests(self, site):
        """Callers get answers before a process ends that has long requests.

        One request runs until the end, and the body of another one does not
        arrive.
        """
        site.target.scripts = [hang]
        host, _, port = site.listen['callers'].partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(HALF_SENT.encode())
        site.child.send(signal.SIGTERM)
        await site.wait_ready(503)
        await asyncio.sleep(1.8)
        async with aiohttp.ClientSession() as session:
            running = asyncio.ensure_future(site.ask(session))
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 503 ')
            assert not running.done()
            assert await running == (502, 'close')
        assert await site.child.wait() == 0
        writer.close()

    async def test_metrics(self, site):
        """The metrics page has the desired state, targets and durations."""
        async with aiohttp.ClientSession() as session:
            assert (await site.ask(session))[0] == 200
        shown = await site.read_metrics()
        prefix = 'ragwortcourse_forwarding_'
        assert {
            f'{prefix}desired_state_age_seconds',
            f'{prefix}retries_left',
            f'{prefix}retries_own',
            f'{prefix}retries_borrowed',
            f'{prefix}retries_lent',
            f'{prefix}running',
            f'{prefix}waiting_seconds_count',
            f'{prefix}duration_seconds_count',
            f'{prefix}requests_total',
        } <= shown.keys()
        assert shown[f'{prefix}targets'] == 1
        assert shown[f'{prefix}desired_state_version'] == 1

    async def test_restarted_daemon_uses_the_share_again(self, site):
        """BUDGET: a restart forgot the retries of the predecessor."""
        name = 'ragwortcourse_forwarding_retries_left'
        async with asyncio.timeout(20):
            # Until the list of daemons is read, more than one are assumed.
            while (before := (await site.read_metrics())[name]) < 80:
                await asyncio.sleep(0.1)
        await site.child.stop()
        await site.child.start('--settings', site.path)
        await site.wait_ready(200)
        await asyncio.sleep(1)
        assert 0 < (await site.read_metrics())[name] <= before / 3

    async def test_hang_up(self, site):
        """SIGHUP does not end a forwarder."""
        site.child.send(signal.SIGHUP)
        await asyncio.sleep(0.5)
        async with aiohttp.ClientSession() as session:
            assert (await site.ask(session))[0] == 200

    async def test_store_away(self, site):
        """Without the store keys are served for some time, then refused."""
        site.store.down = True
        async with aiohttp.ClientSession() as session:
            assert (await site.ask(session))[0] == 200
            await site.wait_ready(503)
            async with asyncio.timeout(10):
                while (await site.ask(session))[0] == 200:
                    await asyncio.sleep(0.1)
            site.store.down = False
            await site.wait_ready(200)
            assert (await site.ask(session))[0] == 200

    async def test_killed(self, site):
        """A killed forwarder serves again without data stored on its host."""
        site.child.send(signal.SIGKILL)
        await site.child.wait()
        await site.child.start('--settings', site.path)
        await site.wait_ready(200)
        async with aiohttp.ClientSession() as session:
            assert (await site.ask(session))[0] == 200

"""Tests of daemon processes under clients that cost memory or descriptors.

The set of clients and the bounds follow from the requirement: each process
stays within the memory and descriptors that its settings name, lives, and
answers an ordinary request afterwards.
"""

import asyncio
import contextlib
import dataclasses
import fcntl
import itertools
import pathlib
import resource
from collections.abc import AsyncIterator, Callable, Iterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from fakes import untrusted_clients as clients
from fakes.child import Child
from fakes.fleet_parts import FORWARDER_TEXT
from fakes.fleet_store import FleetStore
from fakes.fleet_target import FleetTarget, Received, ScriptedConnection
from fakes.ports import pick_address

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group('memory'),
]
MEGABYTE = 1_000_000
# Half of the smallest host's memory shows the faults with few clients.
MEMORY_MB = 100
DESCRIPTORS = 256
ANSWER_SECONDS = 20.0
LARGE_ANSWER = bytes(4_000_000)
EVENT = b'data: %b\n\n' % (b'x' * 200_000)
EVENTS = 200
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
LOOKUP = '/lookups/1'
LARGE = '/lookups/large'
STREAM = '/streams/1'
ROUTE = {
    'host': 'desk.example',
    'timeout_ms': 60_000,
    'slo_ms': 400,
    'service': 'plain',
}
STATE = {
    'version': 1,
    'routes': [
        {
            **ROUTE,
            'name': 'lookups',
            'prefix': '/lookups/',
            'route_type': 'non_idempotent',
        },
        {
            **ROUTE,
            'name': 'streams',
            'prefix': '/streams/',
            'route_type': 'streaming',
        },
    ],
    'services': [{'name': 'plain'}],
    'tenants': [{'name': 'parents', 'api_keys': ['a-key']}],
}

Crowd = list[Iterator[bytes]]


def repeat(count: int, make: Callable[[], Iterator[bytes]]) -> Crowd:
    """Make clients that all send the same."""
    return [make() for _ in range(count)]


def mix() -> Crowd:
    """Make some clients of each case."""
    return list(
        itertools.chain.from_iterable(
            make()[: max(len(make()) // 3, 4)] for make in CROWDS.values()
        )
    )


# Clients of each case; together they send or request over 100 MB, or hold more
# descriptors than the process may have.
CROWDS: dict[str, Callable[[], Crowd]] = {
    'bodies by length': lambda: repeat(
        12,
        lambda: clients.send_length(
            LOOKUP, announced=25_000_000, sent=24_000_000
        ),
    ),
    'bodies within the limit': lambda: repeat(
        60,
        lambda: clients.send_length(
            LOOKUP, announced=4_000_000, sent=3_900_000
        ),
    ),
    'bodies in chunks': lambda: repeat(
        12, lambda: clients.send_chunks(LOOKUP, sent=24_000_000)
    ),
    'bodies in small chunks': lambda: repeat(
        24, lambda: clients.send_chunks(LOOKUP, sent=4_000_000, size=1)
    ),
    'heads': lambda: repeat(
        60, lambda: clients.send_header_lines(LOOKUP, count=120)
    ),
    'trailers': lambda: repeat(
        60, lambda: clients.send_trailers(LOOKUP, count=120)
    ),
    'pipelined requests': lambda: repeat(
        24, lambda: clients.send_pipelined(STREAM, count=100, lines=100)
    ),
    'slow readers': lambda: repeat(40, lambda: clients.send_requests(LARGE)),
    'slow readers of streams': lambda: repeat(
        40, lambda: clients.send_requests(STREAM)
    ),
    'connections of few bytes': lambda: repeat(400, clients.send_few_bytes),
}


async def answer(received: Received, wire: ScriptedConnection) -> None:
    """Answer in full, at length, or as a stream of long events."""
    if received.path == LARGE:
        await wire.answer(received, body=LARGE_ANSWER)
    elif received.path == STREAM:
        await wire.begin(
            received,
            content_type='text/event-stream',
            transfer_encoding='chunked',
        )
        for _ in range(EVENTS):
            await wire.send(b'%x\r\n%b\r\n' % (len(EVENT), EVENT))
        await wire.send(b'0\r\n\r\n')
    else:
        await wire.answer(received)


@dataclasses.dataclass(kw_only=True)
class Site:
    """A forwarder process with a fake store and one target."""

    child: Child
    store: FleetStore
    listen: dict[str, str]

    async def read_ready(self) -> int:
        """Return the status of the readiness check; zero without an answer."""
        url = f'http://{self.listen["watch"]}/readyz'
        with contextlib.suppress(aiohttp.ClientError):
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                return response.status
        return 0

    async def ask(self, body: bytes = b'') -> int:
        """Send an ordinary request, again after a refusal, as callers do."""
        url = f'http://{self.listen["callers"]}{LOOKUP}'
        headers = {
            'Host': 'desk.example',
            'Authorization': 'Bearer a-key',
            'Ragwortcourse-Attempt-Id': 'ordinary',
            'Ragwortcourse-Deadline-Ms': '6000',
        }
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                while status != 200:
                    status = await ask_once(url, headers, body) or status
                    await asyncio.sleep(0.1)
        return status

    def read_peak(self) -> int:
        """Return the greatest resident memory so far, in bytes."""
        status = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].split()[0]) * 1024

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list(pathlib.Path(f'/proc/{self.child.pid}/fd').iterdir()))


async def ask_once(url: str, headers: dict[str, str], body: bytes) -> int:
    """Send a request on a new connection; return zero without an answer."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=body) as response,
        ):
            await response.read()
            return response.status
    return 0


@pytest.fixture(autouse=True)
def alone() -> Iterator[None]:
    """Wait until no other test of this file runs, also in other processes."""
    with pathlib.Path(__file__).open() as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def site(tmp_path) -> AsyncIterator[Site]:
    """Start a forwarder with the memory and descriptors of the test."""
    store, target = FleetStore(), FleetTarget(answer)
    async with contextlib.AsyncExitStack() as stack:
        await target.start()
        stack.push_async_callback(target.stop)
        server = TestServer(store.build_app())
        await server.start_server()
        stack.push_async_callback(server.close)
        store.put('op', 'config', STATE)
        row = {'service': 'plain', 'address': target.address, 'slots': 100}
        row |= {'zone': 'near-a', 'state': 'ready', 'cold_left_ms': 0}
        store.put('servers', 'i-1', row)
        listen = {n: pick_address() for n in ('peers', 'watch', 'callers')}
        path = tmp_path / 'settings.toml'
        path.write_text(
            FORWARDER_TEXT.format(store=f'127.0.0.1:{server.port}', **listen)
            + f'[limits]\nmemory_mb = {MEMORY_MB}\n'
            f'descriptors = {DESCRIPTORS}\n'
        )
        child = Child(
            name='entry-1', module='ragwortcourse.daemon', log=tmp_path / 'log'
        )
        await child.start('--settings', str(path))
        stack.push_async_callback(child.stop)
        opened = Site(child=child, store=store, listen=listen)
        async with asyncio.timeout(20):
            while await opened.read_ready() != 200:
                await asyncio.sleep(0.05)
        descriptors = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, descriptors)
        yield opened


@contextlib.asynccontextmanager
async def play(address: str, crowd: Crowd) -> AsyncIterator[None]:
    """Let clients send, and keep their connections open in the body."""
    playing = clients.UntrustedClients(address=address)
    try:
        await playing.play(crowd)
        yield
    finally:
        await playing.close()


async def check(site: Site, case: str) -> None:
    """Check the process while the clients are still connected."""
    status = await site.ask()
    used = site.count_descriptors() if site.child.running else 0
    peak = site.read_peak() if site.child.running else 0
    found = f'{case}: peak {peak / MEGABYTE:.0f} MB, {used} descriptors'
    assert site.child.running
    assert peak < MEMORY_MB * MEGABYTE, found
    assert used < DESCRIPTORS, found
    assert status == 200, found


class TestForwarder:
    """A forwarder under clients that cost memory or descriptors."""

    @pytest.mark.parametrize('case', CROWDS)
    async def test_each_case(self, site, case):
        """No crowd of one kind takes the memory of the host.

        Incident: 12 clients with bodies of 49 MB each made a forwarder grow
        by 734 MB.
        """
        async with play(site.listen['callers'], CROWDS[case]()):
            await check(site, case)

    async def test_mixed(self, site):
        """No crowd of all kinds takes the memory of the host."""
        async with play(site.listen['callers'], mix()):
            await check(site, 'mixed')

    async def test_mixed_beyond_limits(self, site):
        """Limits of the desired state don't weaken the bounds."""
        site.store.put('op', 'config', {**STATE, 'limits': LIMITS})
        await asyncio.sleep(1)
        async with play(site.listen['callers'], mix()):
            await check(site, 'mixed, with limits')

    @pytest.mark.parametrize(
        'case',
        [
            'bodies by length',
            'heads',
            'connections of few bytes',
        ],
    )
    async def test_port_for_daemons(self, site, case):
        """The port for other daemons has the same bounds."""
        async with play(site.listen['peers'], CROWDS[case]()):
            await check(site, case)

    async def test_single_large_body(self, site):
        """A single request as large as the limit is served in calm."""
        site.store.put('op', 'config', {**STATE, 'limits': LIMITS})
        body = bytes(LIMITS['max_body_bytes'])
        assert await site.ask(body) == 200
        assert site.read_peak() < MEMORY_MB * MEGABYTE

"""Starts forwarders and loaders as processes, with stand-ins around them.

The store is ``fakes.fleet_store.FleetStore``. Workers answer as the platform's
pages say. All times in the record are seconds since the start of the script.
"""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from fakes.fleet_store import FleetStore

ROOT = pathlib.Path(__file__).resolve().parent.parent
STARTED_AT = time.monotonic()
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 20.0
PLAY_SECONDS = 110.0

# As rendered by deploy/settings.toml with the bounds of edicola-padana.
SETTINGS = """role = "{role}"
daemon = "{name}"
host = "{name}"
failure_domain = "{zone}"
region = "{region}"
[listen]
peers = "{peers}"
watch = "{watch}"
{callers}
[fleet]
store = "{store}"
grace_seconds = 8
strict_revocation = true
revoke_ms = 5000
contact_ms = 3000
version_ms = 8000
retry_ratio = 0.2
retry_window_seconds = 10
retry_reserve = 106
apply_ms = 2000
[fleet.failure_domains]
"milano-a" = "lombardia"
"padova-a" = "veneto"
"torino-a" = "piemonte"
{loader}
"""
REGIONS = {
    'milano-a': 'lombardia',
    'padova-a': 'veneto',
    'torino-a': 'piemonte',
}


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED_AT


def pick_port() -> int:
    """Return a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')

    def add(self, kind: str, **fields: object) -> None:
        """Add one line with the time of the script."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now():8.3f} {kind} {text}\n')
        self._file.flush()


class Site:
    """Processes and stand-ins of one case.

    :ivar store: stand-in of the platform's store.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = FleetStore()
        self.store_address = ''
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._runners: dict[str, web.AppRunner] = {}
        self._paths: dict[str, pathlib.Path] = {}
        self.callers: dict[str, str] = {}
        self.watch: dict[str, str] = {}

    async def open(self) -> None:
        """Start the store."""
        self.store_address = await self.serve(self.store.build_app())

    async def close(self) -> None:
        """Kill all processes by pid and stop the stand-ins."""
        for process in self._processes.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.wait()
        await self._stack.aclose()

    async def serve(self, app: web.Application) -> str:
        """Serve a stand-in on a free port; return its address."""
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        address = f'127.0.0.1:{pick_port()}'
        self._runners[address] = runner
        await self.listen_again(address)
        return address

    async def listen_again(self, address: str) -> None:
        """Accept new connections at the address of a stand-in."""
        _, _, port = address.rpartition(':')
        await web.TCPSite(
            self._runners[address], '127.0.0.1', int(port), reuse_address=True
        ).start()

    async def stop_listening(self, address: str) -> None:
        """Refuse new connections at the address of a stand-in."""
        for listening in tuple(self._runners[address].sites):
            await listening.stop()

    def reset_connections(self, address: str) -> None:
        """Reset the connections to a stand-in, as its crash does."""
        server = self._runners[address].server
        for connection in () if server is None else server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def prepare(
        self,
        name: str,
        *,
        zone: str = 'milano-a',
        store: str = '',
        loader: str = '',
    ) -> None:
        """Write the settings of a process; a forwarder without ``loader``."""
        callers = f'127.0.0.1:{pick_port()}'
        watch = f'127.0.0.1:{pick_port()}'
        text = SETTINGS.format(
            role='loader' if loader else 'forwarder',
            name=name,
            zone=zone,
            region=REGIONS[zone],
            peers=f'127.0.0.1:{pick_port()}',
            watch=watch,
            callers='' if loader else f'callers = "{callers}"',
            store=store or self.store_address,
            loader=loader,
        )
        path = self._folder / f'{name}.toml'
        path.write_text(text)
        self._paths[name] = path
        self.callers[name] = callers
        self.watch[name] = watch

    def start(self, name: str) -> None:
        """Start a process by the command of the deploy file."""
        log = (self._folder / f'{name}.log').open('ab')
        self._processes[name] = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'ragwortcourse.daemon',
                '--settings',
                str(self._paths[name]),
            ],
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.add('start', process=name)

    def limit_descriptors(self, name: str, count: int) -> None:
        """Give a process the limit on descriptors of its machine."""
        pid = self._processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))

    def count_descriptors(self, name: str) -> int:
        """Count the open descriptors of a process."""
        pid = self._processes[name].pid
        return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this site started."""
        os.kill(self._processes[name].pid, number)
        self.record.add('signal', process=name, signal=number.name)
        if number == signal.SIGKILL:
            self._processes[name].wait()

    def read_end(self, name: str) -> int | None:
        """Return the exit status of a process; none while it runs."""
        return self._processes[name].poll()

    def read_log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._folder / f'{name}.log').read_text()

    async def await_ready(self, name: str) -> None:
        """Wait until a process says that it is ready."""
        give_up_at = now() + START_SECONDS
        async with aiohttp.ClientSession() as session:
            while now() < give_up_at:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(
                        f'http://{self.watch[name]}/readyz'
                    ) as answer:
                        if answer.status == 200:
                            self.record.add('ready', process=name)
                            return
                await asyncio.sleep(0.05)
        raise CannotRunError(f'{name} is not ready')


def make_config(
    version: int,
    *,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    tenants: list[dict[str, object]] | None = None,
) -> dict[str, object]:
    """Build a desired state as the operator writes it."""
    config: dict[str, object] = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
    if tenants is not None:
        config['tenants'] = tenants
    return config


def make_route(
    kind: str, prefix: str, service: str, **changes: object
) -> dict[str, object]:
    """Build a route of a desired state."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': 'desk.example',
        'prefix': prefix,
        'route_type': kind,
        'timeout_ms': 6000 if kind == 'streaming' else 800,
        'slo_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 400,
        'allowed_regions': [],
        **changes,
    }


def make_plain_service(name: str) -> dict[str, object]:
    """Build a service without an engine."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 110,
        'protocol': 'h1',
        'tls': False,
        'cold_s': 0.0,
        'cold_per_s': 0.0,
    }


def run_case(
    play: Callable[[Site, bool], Awaitable[int]], folder: pathlib.Path
) -> None:
    """Play a case and exit with its result."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.add('begin', trouble=int(trouble))

    async def play_all() -> int:
        playing = asyncio.current_task()
        if playing is not None:
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, playing.cancel
            )
        site = Site(record)
        await site.open()
        try:
            return await asyncio.wait_for(play(site, trouble), PLAY_SECONDS)
        finally:
            await site.close()

    try:
        result = asyncio.run(play_all())
    except (Exception, asyncio.CancelledError) as error:
        record.add('cannot-run', error=repr(error))
        sys.exit(NOT_RUN)
    record.add('result', status=result)
    sys.exit(result)

"""Parts that the cases 6 to 10 share: a store, workers, clients, processes.

Each case starts the project's daemons with the command of the deploy file, on
loopback addresses and the real clock. The store is the project's own stand-in.
Workers and clients are small ones that do what the users' pages say.
"""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

from aiohttp import web

from fakes.fleet_store import FleetStore
from fakes.ports import LOOPBACK, pick_address

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
KEY = 'a-key'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, UNABLE = 1, 0, 2
# A script may run for 120 s.
LONGEST_SECONDS = 110
ATTEMPT = 'Ragwortcourse-Attempt-Id'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """Figures of a site file that its settings and rules name."""

    contact_ms: int
    apply_ms: int
    version_ms: int
    reserve: int
    memory_mb: int


EDICOLA = Site(
    contact_ms=3000,
    apply_ms=2000,
    version_ms=8000,
    reserve=106,
    memory_mb=300,
)
# The larger ones of its edge machines.
MORDECAI = Site(
    contact_ms=4000,
    apply_ms=3000,
    version_ms=13400,
    reserve=222,
    memory_mb=552,
)


class UnableError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, case_file):
        self._began = time.monotonic()
        folder = pathlib.Path(case_file).resolve().parent
        self._file = (folder / 'record.txt').open('w')

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, what, **fields):
        """Write one line."""
        shown = ' '.join(f'{name}={each}' for name, each in fields.items())
        self._file.write(f'{self.now():8.3f} {what} {shown}\n')
        self._file.flush()

    def say(self, text):
        """Write a line and print it."""
        self._file.write(f'{text}\n')
        self._file.flush()
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


class Daemon:
    """One process of the project, started as the deploy file's `run` does."""

    def __init__(self, *, name, settings, folder):
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(settings)
        self._log = folder / f'{name}.log'
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        module = ('-m', 'ragwortcourse.daemon')
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, *module, '--settings', str(self._settings)],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=environment,
                cwd=ROOT,
            )

    @property
    def running(self):
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Send a signal to the process."""
        if self.running:
            os.kill(self.process.pid, number)

    def end(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    """Store and forwarders of one small deployment, in two zones."""

    zones = ('near-a', 'near-b')

    def __init__(self, *, record, site=EDICOLA):
        self.record = record
        self.site = site
        self.store = FleetStore()
        self.daemons = {}
        self.fronts = {}
        self._ready = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._runner = web.AppRunner(
            self.store.build_app(), shutdown_timeout=0.2, access_log=None
        )
        self._store_address = ''

    async def open(self, *zones):
        """Serve the store and start a forwarder in each of some zones."""
        self._store_address = pick_address()
        port = int(self._store_address.rpartition(':')[2])
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, port).start()
        for number, zone in enumerate(zones, start=1):
            self._add_forwarder(f'edge-{number}', zone)
        for name in self._ready:
            await self._wait_ready(name)
        # All machines are in touch from now on.
        await asyncio.sleep(self.site.contact_ms / 1000 + 1)

    async def close(self):
        """End every process, then the store."""
        for each in self.daemons.values():
            each.end()
        await self._runner.cleanup()
        shutil.rmtree(self._folder, ignore_errors=True)

    def put_config(self, *routes, version=1, keys=(KEY,), services=()):
        """Write a desired state as the operator does.

        :param services: instead of the plain one.
        """
        tenant = {
            'name': 'parents',
            'api_keys': list(keys),
            'priority': 1,
            'allowed_regions': [],
        }
        service = {'name': 'plain', 'health_path': '/healthz', 'max_conns': 500}
        state = {
            'version': version,
            'routes': list(routes),
            'services': list(services) or [service],
            'limits': LIMITS,
            'tenants': [tenant],
        }
        self.store.put('op', 'config', state)

    def add_loader(self, name, zone, *, engine, service):
        """Start a loader with the settings of a side machine."""
        listen = f'peers = "{pick_address()}"\nwatch = "{pick_address()}"\n'
        loader = (
            f'[loader]\nengine = "{engine}"\nservice = "{service}"\n'
            'link_mbps = 4.7\n'
        )
        self._start(name, zone, 'loader', listen, 168, loader)

    def _add_forwarder(self, name, zone):
        """Start a forwarder with the settings of an edge machine."""
        peers, watch, front = (pick_address() for _ in range(3))
        self.fronts[name], self._ready[name] = front, watch
        listen = f'peers = "{peers}"\nwatch = "{watch}"\ncallers = "{front}"\n'
        self._start(name, zone, 'forwarder', listen, self.site.memory_mb)

    def _start(self, name, zone, role, listen, memory_mb, loader=''):
        site = self.site
        text = f"""role = "{role}"
daemon = "{name}"
host = "{name}"
failure_domain = "{zone}"
region = "near"
[listen]
{listen}[fleet]
store = "{self._store_address}"
grace_seconds = 8
strict_revocation = true
revoke_ms = 5000
contact_ms = {site.contact_ms}
version_ms = {site.version_ms}
retry_ratio = 0.2
retry_window_seconds = 10
retry_reserve = {site.reserve}
apply_ms = {site.apply_ms}
[limits]
memory_mb = {memory_mb}
descriptors = {1124 if loader else 4100}
[fleet.failure_domains]
"""
        text += ''.join(f'"{each}" = "near"\n' for each in self.zones)
        made = Daemon(name=name, settings=text + loader, folder=self._folder)
        self.daemons[name] = made
        made.start()

    async def _wait_ready(self, name, seconds=30):
        """Wait until the ready address answers 200, as the platform asks."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            answer = await call(
                self._ready[name], 'GET', '/readyz', {}, seconds=1
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise UnableError(f'{name} is not ready')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to a request; status 0 if there was none."""

    status: int = 0
    body: bytes = b''
    detail: str = ''


async def read_head(reader):
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read a body by its length, in chunks, or to the end of the channel."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    if 'chunked' not in headers.get('transfer-encoding', ''):
        return await reader.read()
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        body += piece[:size]


def write_request(method, path, headers, body=b''):
    """Write a request with its body."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def call(address, method, path, headers, body=b'', *, seconds=3.0):
    """Send one request on a new channel and read the whole answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(write_request(method, path, headers, body))
            first, received = await read_head(reader)
            return Answer(
                status=int(first.split()[1]),
                body=await read_body(reader, received),
            )
    except TimeoutError:
        return Answer(detail='no answer in time')
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(detail=repr(error))
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """Clients of one deployment, and the tasks in which they wait.

    :ivar sent: when each request was sent, by its id.
    :ivar statuses: status of each answer, by the id of the request.
    """

    def __init__(self, *, fleet, record):
        self.fleet = fleet
        self.record = record
        self.sent = {}
        self.statuses = {}
        self._tasks = set()
        self._failed = []
        self._turns = itertools.cycle(sorted(fleet.fronts))

    def spawn(self, work):
        """Run something beside the case."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)
        return task

    def _note_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failed.append(task.exception())

    async def ask(
        self, attempt, path, *, edge=None, body=b'', key=KEY, loud=True
    ):
        """Send a request to a forwarder, the next one if none is named.

        :param loud: whether to note what was sent and answered.
        """
        edge = edge or next(self._turns)
        self.sent[attempt] = self.record.now()
        if loud:
            self.record.note(
                'sent', attempt=attempt, edge=edge, path=path, body=len(body)
            )
        answer = await call(
            self.fleet.fronts[edge],
            'POST' if body else 'GET',
            path,
            make_headers(attempt, key=key),
            body,
            seconds=1.52,
        )
        self.statuses[attempt] = answer.status
        if loud:
            self.record.note(
                'answered',
                attempt=attempt,
                edge=edge,
                status=answer.status,
                detail=answer.detail or answer.body[:60],
            )

    async def send_usual(self, per_second):
        """Send small requests at a steady rate, forever."""
        for number in itertools.count():
            attempt = f'u{number:05d}'
            self.spawn(self.ask(attempt, f'/lookups/{attempt}', loud=False))
            await asyncio.sleep(1 / per_second)

    def count(self, kind):
        """Count the answers by status, of requests whose ids begin so."""
        found = {}
        for attempt, status in self.statuses.items():
            if attempt.startswith(kind):
                found[status] = found.get(status, 0) + 1
        return dict(sorted(found.items()))

    async def finish(self):
        """Wait until every answer has come.

        :raises UnableError: a task of the case itself failed.
        """
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        if self._failed:
            raise UnableError(f'the case failed: {self._failed[0]!r}')

    def cancel(self):
        """Cancel what still runs."""
        for task in tuple(self._tasks):
            task.cancel()


def make_headers(attempt, *, key=KEY, deadline_ms=1514):
    """Make the headers of a client's request."""
    return {
        ATTEMPT: attempt,
        'Ragwortcourse-Deadline-Ms': deadline_ms,
        'Authorization': f'Bearer {key}',
    }


class Worker:
    """Worker of a plain service that may crash and come back.

    It checks the instance that a request expects, and drops a request whose
    channel has closed, as the users' pages say.

    :ivar crashes: tells whether a path crashes the worker.
    :ivar crash_after: seconds from the start of such a request to the crash.
    :ivar make_body: makes the body of an answer.
    """

    def __init__(self, *, fleet, name, zone, work=0.02, slots=6):
        self.name = name
        self.crashes = lambda path: False
        self.crash_after = 0.0
        self.make_body = lambda attempt: attempt.encode()
        self.note_run = lambda worker, attempt, path: None
        self.note_crash = lambda worker: None
        self._fleet = fleet
        self._zone = zone
        self._work = work
        self._slots = slots
        self._address = pick_address()
        self._server = None
        self._open = set()

    async def start(self):
        """Listen, and write the entry in the store."""
        port = int(self._address.rpartition(':')[2])
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        entry = {
            'service': 'plain',
            'address': self._address,
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': int(time.time() * 1000),
            'seq': 0,
        }
        self._fleet.store.put('servers', self.name, entry)

    async def come_back(self, seconds, name):
        """Start anew after some seconds, as another instance."""
        await asyncio.sleep(seconds)
        self._fleet.store.drop('servers', self.name)
        self.name = name
        await self.start()
        self._fleet.record.note('worker is back', worker=self.name)

    def _crash(self):
        """End as a killed process does."""
        self._server.close()
        self._server = None
        for writer in tuple(self._open):
            writer.transport.abort()
        self.note_crash(self)

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            first, headers = await read_head(reader)
            if 'content-length' in headers:
                await read_body(reader, headers)
            await self._answer(writer, first.split()[1], headers)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, writer, path, headers):
        attempt = headers.get(ATTEMPT.lower(), '')
        marks = [f'{ATTEMPT}: {attempt}']
        if headers.get('ragwortcourse-expect-instance') != self.name:
            marks.append(f'Ragwortcourse-Instance-Id: {self.name}')
            _write(writer, '421 Misdirected Request', marks, b'')
            return
        self.note_run(self, attempt, path)
        if self.crashes(path):
            await asyncio.sleep(self.crash_after)
            if self._server is not None and not writer.is_closing():
                self._crash()
            return
        await asyncio.sleep(self._work)
        if self._server is None:
            return
        marks.append(f'Ragwortcourse-Server-Stamp: {attempt}.stamp')
        _write(writer, '200 OK', marks, self.make_body(attempt))
        await writer.drain()


def _write(writer, status, marks, body):
    lines = [f'HTTP/1.1 {status}', *marks, f'Content-Length: {len(body)}']
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)


def make_route(name, kind='idempotent', timeout_ms=1500, service='plain'):
    """Build a route of a desired state."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'slo_ms': 404,
        'priority': 1,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        'public': False,
        'allowed_regions': [],
    }


def run_case(main, case_file):
    """Run a case to its end and exit with its verdict.

    Whatever fails in the case itself is no finding.
    """
    record = Record(case_file)

    async def run():
        async with asyncio.timeout(LONGEST_SECONDS):
            return await main(record)

    # Ends the processes of the case too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        verdict = asyncio.run(run())
    except UnableError as error:
        record.say(f'could not run: {error}')
        verdict = UNABLE
    except (Exception, KeyboardInterrupt):
        record.say(f'could not run: {traceback.format_exc()}')
        verdict = UNABLE
    sys.exit(verdict)

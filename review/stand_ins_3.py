"""Stand-ins and processes that the scripts of the third review share.

The store, the workers and the links run in the process of the script, the
project's daemons as separate processes. All addresses are loopback addresses.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import types
from collections.abc import Awaitable, Callable, Iterator, Mapping

ROOT = pathlib.Path(__file__).resolve().parent.parent
PYTHON = shutil.which('python3') or 'python3'
HOST = '127.0.0.1'
KEY = 'key-of-parents'
KEY_TAKEN_AWAY = 'key-taken-away'
ROUTE_HOST = 'desk.example'
CALL_START = re.compile(rb'GET (/rows-feed\?table=[a-z]+)[^ ]*(&wait_ms=\d+)')
LINGER = struct.pack('ii', 1, 0)
# Limits of the pages on one answer of /rows-get.
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
START_SECONDS = 20.0
CASE_SECONDS = 100.0
NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})
# Bounds of the site edicola-padana-grown.
CONTACT_SECONDS = 4.0
DRAIN_SECONDS = 3.0
APPLY_SECONDS = 3.0
REVOKE_SECONDS = 5.0
BOUNDS = """grace_seconds = 8
strict_revocation = true
revoke_ms = 5000
contact_ms = 4000
version_ms = 8000
retry_ratio = 0.2
retry_window_seconds = 10
retry_reserve = 252
apply_ms = 3000
"""
# Two regions of that site have 16 Mbit/s between them, each way.
REGION_BYTES_PER_SECOND = 2_000_000
# Zones of that site; the store stands in the region of the first one.
ZONES = {
    'milano-a': 'lombardia',
    'padova-a': 'veneto',
    'torino-a': 'piemonte',
}
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
{bounds}
[limits]
memory_mb = 300
descriptors = 4100

[fleet.failure_domains]
{zones}
{loader}"""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / 'record.txt'
        self._began_at = time.monotonic()
        self._path.write_text('')

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        line = f'{time.monotonic() - self._began_at:8.3f} {text}\n'
        with self._path.open('a') as output:
            output.write(line)


class Store:
    """The platform's metadata store: rows, feeds and transactions."""

    def __init__(self) -> None:
        self.revision = 0
        self.reads: collections.Counter[str] = collections.Counter()
        self.note: Callable[[str], None] = lambda _: None
        self.is_deaf = False
        self._oldest = 0
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; this is the acknowledged change."""
        content = json.dumps(value).encode()
        self.put_raw(table, key, base64.b64encode(content).decode())

    def put_raw(self, table: str, key: str, value: str) -> None:
        """Write a row with a value as another writer sends it."""
        self._change(table, key, value)

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        self._change(table, key, None)

    def forget_history(self) -> None:
        """Discard the history; the server has to cut the calls that wait."""
        self._oldest = self.revision

    def _change(self, table: str, key: str, value: str | None) -> None:
        self.revision += 1
        self._rows[table, key] = self.revision, value
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self, method: str, path: str, query: Mapping[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Answer one call; the rows are those of a single moment."""
        table = query.get('table', '')
        if path == '/rows-get':
            self.reads[table] += 1
            self.note(
                f'store reads {table} from {query.get("from", "its begin")!r}'
            )
            return 200, self._read_page(table, query)
        if path == '/rows-feed':
            after = int(query['after_rev'])
            if not self._oldest <= after <= self.revision:
                return 410, b'{}'
            await self._await_rows(table, after, int(query['wait_ms']) / 1000)
            return 200, self._encode(self._list_changes(table, after))
        if path == '/rows-tx' and method == 'POST':
            change = json.loads(body)
            for row in change['write']:
                self._change(row['table'], row['key'], row['value'])
            for row in change['remove']:
                self._change(row['table'], row['key'], None)
            return 200, self._encode([])
        return 404, b'{}'

    def _read_page(self, table: str, query: Mapping[str, str]) -> bytes:
        rows: list[dict[str, object]] = []
        size = 0
        has_more = False
        for key in sorted(key for of, key in self._rows if of == table):
            version, value = self._rows[table, key]
            if value is None or key < query.get('from', ''):
                continue
            row = {
                'table': table,
                'part': '',
                'key': key,
                'value': value,
                'row_version': version,
            }
            size += len(json.dumps(row))
            if rows and (len(rows) == PAGE_ROWS or size > PAGE_BYTES):
                has_more = True
                break
            rows.append(row)
        return self._encode(rows, has_more=has_more)

    def _list_changes(self, table: str, after: int) -> list[dict[str, object]]:
        changed = sorted(
            (version, key, value)
            for (of, key), (version, value) in self._rows.items()
            if of == table and version > after
        )
        return [
            {
                'table': table,
                'part': '',
                'key': key,
                'row_version': version,
                **({'deleted': True} if value is None else {'value': value}),
            }
            for version, key, value in changed
        ]

    async def _await_rows(self, table: str, after: int, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self._list_changes(table, after):
                    await self._changed.wait()
        while self.is_deaf:
            await asyncio.sleep(0.01)

    def _encode(
        self, rows: list[dict[str, object]], *, has_more: bool = False
    ) -> bytes:
        answer = {
            'rows': rows,
            'has_more': has_more,
            'row_version': self.revision,
            'now_ms': time.monotonic() * 1000,
        }
        return json.dumps(answer).encode()


class StoreServer:
    """HTTP server of the store; each answer takes 4 ms."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.address = ''
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = read_address(self._server)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def compact(self) -> None:
        """Discard the history and cut all calls."""
        self.store.forget_history()
        self.store.is_deaf = False
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                method, target, _, body = await read_message(reader)
                path, _, text = target.partition('?')
                query = dict(split_query(text))
                status, content = await self.store.answer(
                    method, path, query, body
                )
                await asyncio.sleep(0.004)
                writer.write(
                    f'HTTP/1.1 {status} X\r\nStore-Era: 1\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


class Line:
    """A line between two regions, which all their traffic shares.

    :param rate: bytes a second each way.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._free_at = {'up': 0.0, 'down': 0.0}

    async def carry(self, size: int, way: str) -> None:
        """Wait until the line has carried some bytes."""
        now = time.monotonic()
        begin = max(self._free_at[way], now)
        self._free_at[way] = begin + size / self._rate
        await asyncio.sleep(self._free_at[way] - now)


class Link:
    """A proxy of the way of one machine to the store.

    :param line: line between regions that it crosses; none if it crosses
        none.
    :ivar is_cut: true while nothing passes, and open channels stay silent.
    :ivar carried: feeds that were asked for, with the time they may wait.
    """

    def __init__(self, server: str, line: Line | None = None) -> None:
        self.server = server
        self.address = ''
        self.line = line
        self.is_cut = False
        self.carried: collections.Counter[bytes] = collections.Counter()
        self._lossy: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._spawn, HOST, 0)
        self.address = read_address(self._listener)

    async def stop(self) -> None:
        """Stop listening and end all channels."""
        if self._listener is not None:
            self._listener.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """End a cut; the channels that lost bytes are reset."""
        self.is_cut = False
        for writer in tuple(self._lossy):
            reset(writer)

    def _spawn(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.server.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, writer, 'up'),
                self._pump(far_reader, writer, writer, 'down'),
            )
        except OSError:
            reset(writer)
            reset(far_writer)
        finally:
            self._lossy.discard(writer)
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter,
        way: str,
    ) -> None:
        while content := await reader.read(4096):
            for call_start in CALL_START.findall(content):
                self.carried[b''.join(call_start)] += 1
            if self.line is not None:
                await self.line.carry(len(content), way)
            if self.is_cut or caller in self._lossy:
                self._lossy.add(caller)
                continue
            writer.write(content)
            await writer.drain()
        if caller not in self._lossy and writer.can_write_eof():
            writer.write_eof()


class Worker:
    """One worker of a service, as the pages describe it.

    :ivar runs: time, attempt id, tenant and path of each request that ran.
    :ivar bodies: body of each request that ran, by attempt id.
    :ivar is_leaving: true once it leaves, which all its answers say.
    """

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ''
        self.is_leaving = False
        self.work_seconds = 0.02
        self.runs: list[tuple[float, str, str, str]] = []
        self.bodies: dict[str, bytes] = {}
        self.note: Callable[[str], None] = lambda _: None
        self.born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, after a stop on the same one."""
        _, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, HOST, int(port or 0)
        )
        self.address = read_address(self._server)

    async def stop(self) -> None:
        """End as a process that exits: all channels are reset."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    def describe(self, state: str = 'ready') -> dict[str, object]:
        """Build the worker's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 16,
            'state': state,
            'cold_left_ms': 0,
            'seq': 1,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_message(reader)
                await self._answer(method, target, headers, body, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = headers.get('ragwortcourse-attempt-id', '')
        marks = {'Ragwortcourse-Attempt-Id': attempt}
        if self.is_leaving:
            marks['Server-Leaving'] = '1'
        expected = headers.get('ragwortcourse-expect-instance', self.name)
        if expected != self.name:
            marks['Ragwortcourse-Instance-Id'] = self.name
            await write_answer(writer, 421, marks, b'')
            return
        tenant = headers.get('ragwortcourse-tenant', '')
        self.runs.append((time.monotonic(), attempt, tenant, target))
        self.bodies[attempt] = body
        self.note(f'worker {self.name} runs {attempt} {method} {target}')
        await asyncio.sleep(self.work_seconds)
        marks['Ragwortcourse-Server-Stamp'] = f'stamp-of-{self.name}'
        await write_answer(writer, 200, marks, f'answer to {attempt}'.encode())


class Daemon:
    """One process of the project, started with the deploy file's command."""

    def __init__(
        self, *, name: str, folder: pathlib.Path, settings: str
    ) -> None:
        self.name = name
        self.path = folder / f'{name}.toml'
        self.path.write_text(settings)
        self.log = folder / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [
                    PYTHON,
                    '-m',
                    'ragwortcourse.daemon',
                    '--settings',
                    str(self.path),
                ],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'RAGWORTCOURSE_NODE_FILE': str(self.path),
                },
            )

    @property
    def running(self) -> bool:
        """Tell whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            os.kill(self._process.pid, number)

    async def wait(self) -> int:
        """Wait until the process has ended."""
        while self.running:
            await asyncio.sleep(0.01)
        return 0 if self._process is None else self._process.returncode

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait()


class Site:
    """A store, workers and daemons of one small deployment."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.store.note = self.record.note
        self.server = StoreServer(self.store)
        self.links: dict[str, Link] = {}
        self.daemons: dict[str, Daemon] = {}
        self.callers: dict[str, str] = {}
        self.watches: dict[str, str] = {}
        self.workers: dict[str, Worker] = {}
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self._ports = pick_ports()

    async def open(self) -> None:
        """Start the store."""
        await self.server.start()

    async def close(self) -> None:
        """End every process and stand-in."""
        for daemon in self.daemons.values():
            await daemon.kill()
        for worker in self.workers.values():
            await worker.stop()
        for link in self.links.values():
            await link.stop()
        await self.server.stop()
        shutil.rmtree(self._temporary, ignore_errors=True)

    async def add_worker(self, worker: Worker) -> Worker:
        """Start a worker and register it in the store."""
        worker.note = self.record.note
        await worker.start()
        self.workers[worker.name] = worker
        self.store.put('servers', worker.name, worker.describe())
        return worker

    async def add_forwarder(
        self, name: str, zone: str, line: Line | None = None
    ) -> Daemon:
        """Make a forwarder with a way of its own to the store."""
        link = self.links[name] = Link(self.server.address, line)
        await link.start()
        self.callers[name] = f'{HOST}:{next(self._ports)}'
        self.watches[name] = f'{HOST}:{next(self._ports)}'
        text = SETTINGS.format(
            role='forwarder',
            name=name,
            zone=zone,
            region=ZONES[zone],
            peers=f'{HOST}:{next(self._ports)}',
            watch=self.watches[name],
            callers=f'callers = "{self.callers[name]}"\n',
            store=link.address,
            bounds=BOUNDS,
            zones='\n'.join(f'"{z}" = "{r}"' for z, r in ZONES.items()),
            loader='',
        )
        daemon = Daemon(name=name, folder=self._temporary, settings=text)
        self.daemons[name] = daemon
        return daemon

    async def wait_ready(self, name: str) -> None:
        """Wait until a forwarder says that it is ready."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    status, _, _ = await call(
                        self.watches[name], 'GET', '/readyz', {}
                    )
                    if status == 200:
                        return
                await asyncio.sleep(0.05)

    async def ask(
        self,
        name: str,
        attempt: str,
        *,
        path: str,
        method: str = 'GET',
        key: str = KEY,
        body: bytes = b'',
        headers: Mapping[str, str] = NO_HEADERS,
        deadline_ms: int = 1514,
    ) -> int:
        """Send one request of a client and return the status of its answer.

        :return: zero without a complete answer.
        """
        sent = {
            'Host': ROUTE_HOST,
            'Ragwortcourse-Attempt-Id': attempt,
            'Ragwortcourse-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {key}',
            **headers,
        }
        self.record.note(f'client sends {attempt} {method} {path} to {name}')
        status = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                status, _, _ = await call(
                    self.callers[name], method, path, sent, body
                )
        self.record.note(f'client gets {status or "no answer"} to {attempt}')
        return status


def make_route(
    service: str, prefix: str, **changes: object
) -> dict[str, object]:
    """Build a route of a desired state."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': ROUTE_HOST,
        'prefix': prefix,
        'route_type': 'idempotent',
        'timeout_ms': 1500,
        'slo_ms': 404,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 0,
        'allowed_regions': [],
        **changes,
    }


def make_service(name: str) -> dict[str, object]:
    """Build a service of a desired state."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 110,
        'cold_per_s': 0,
    }


def make_state(
    version: int, routes: list[dict[str, object]], keys: list[str]
) -> dict[str, object]:
    """Build a desired state."""
    services = sorted({str(route['service']) for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [make_service(name) for name in services],
        'tenants': [
            {
                'name': 'bozi300',
                'api_keys': keys,
                'priority': 1,
                'allowed_regions': [],
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }


def read_address(server: asyncio.Server) -> str:
    """Return the address on which a server listens."""
    return f'{HOST}:{server.sockets[0].getsockname()[1]}'


def pick_ports() -> Iterator[int]:
    """Yield ports below the range of outgoing connections that are free."""
    for port in range(17_000 + os.getpid() % 1000 * 10, 32_000):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, port))
            yield port


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    if writer.is_closing():
        return
    opened = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


def split_query(text: str) -> Iterator[tuple[str, str]]:
    """Split a query into decoded pairs."""
    for pair in filter(None, text.split('&')):
        name, _, value = pair.partition('=')
        yield name, decode_percent(value)


def decode_percent(text: str) -> str:
    """Decode a part of a query."""
    first, *rest = text.replace('+', ' ').split('%')
    return first + ''.join(chr(int(r[:2], 16)) + r[2:] for r in rest)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
    """Read a request: method, target, headers in lower case and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    method, target, _ = first.split(' ', 2)
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, target, headers, body


async def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> None:
    """Write an answer with its length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    await writer.drain()


async def call(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new channel and read the complete answer.

    :raises asyncio.IncompleteReadError: the channel ended early.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if 'Host' not in headers:
            lines.append(f'Host: {address}')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *told = head.strip().split('\r\n')
        pairs = (line.partition(':') for line in told)
        found = {name.lower(): text.strip() for name, _, text in pairs}
        content = await reader.readexactly(int(found.get('content-length', 0)))
    finally:
        writer.close()
    return int(first.split(' ')[1]), found, content


async def find_readers(site: Site, names: list[str]) -> list[str]:
    """Find the two forwarders that read the workers' entries for their zone.

    They are the ones whose calls of the store wait longest for a change; if
    all are alike, any two.
    """
    for name in names:
        site.links[name].carried.clear()
    await asyncio.sleep(5)
    waits = {
        name: max(
            (
                int(call_start.rpartition(b'=')[2])
                for call_start in site.links[name].carried
                if b'table=servers&' in call_start
            ),
            default=0,
        )
        for name in names
    }
    return sorted(names, key=lambda name: waits[name], reverse=True)[:2]


def run_case(
    folder: pathlib.Path, play: Callable[[Site, bool], Awaitable[bool]]
) -> int:
    """Run a case.

    :param play: plays it with or without the disruption; returns whether the
        rule held.
    :return: 0 if the rule held, 1 if it was broken, 2 if the case could not
        run.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> bool:
        site = Site(folder=folder)
        task = asyncio.current_task()
        if task is not None:
            # The processes of the case end with it.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
        try:
            await site.open()
            return await play(site, has_trouble)
        finally:
            await site.close()

    try:
        return 0 if asyncio.run(asyncio.wait_for(run(), CASE_SECONDS)) else 1
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f'case not run: {error!r}\n')
        return 2

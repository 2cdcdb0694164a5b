"""The fleet of one soak: real daemons between stand-ins."""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import random
import signal
import time

from aiohttp import web
from aiohttp.test_utils import TestServer

from fakes.child import Child
from fakes.fleet_parts import BOUNDS_TEXT
from fakes.fleet_store import FleetStore
from fakes.ports import pick_address
from fakes.soak_proxy import LoopbackProxy
from fakes.soak_records import PlannedKind, PlannedWork, Records
from fakes.soak_stage import CHUNKS, make_piece
from fakes.soak_state import (
    ENGINES,
    MODELS,
    PLAIN,
    SKETCHERS,
    SPARE,
    SoakState,
)
from fakes.soak_target import MODEL, SoakTarget
from fakes.soak_watch import WATCH_LOG
from ragwortcourse.detached_tasks import DetachedTasks, end_task
from ragwortcourse.membership.readers import MAX_READERS
from ragwortcourse.membership.rendezvous import score_pair
from ragwortcourse.weights.manifest import digest_bytes

# The last one may be withdrawn.
DOMAINS = ('near-a', 'near-b')
# Prefix of the names of targets, by service.
PREFIXES = {ENGINES: 'i', SKETCHERS: 'k', PLAIN: 'p', SPARE: 's'}
RESERVES = ('retry_reserve = 106', 'retry_reserve = 107')
# Processes that start together share the processors.
START_SECONDS = 30.0
START_SECONDS_EACH = 2.0
ERROR_LEVELS = frozenset(('ERROR', 'CRITICAL'))
GRACE_SECONDS = 8
CLOSE_SECONDS = 0.5
# Engines write their rows this often, if they have changed.
BEAT_SECONDS = 1.2
# Rows of a page, so that most tables take several.
PAGE_ROWS = (1, 2, 500)
# From the crash of a target until its next incarnation serves.
DOWN_SECONDS = 2.0
FLEET_TEXT = f"""
daemon = "{{name}}"
host = "{{name}}"
failure_domain = "{{domain}}"
region = "near"
[fleet]
store = "{{store}}"
{BOUNDS_TEXT}[fleet.failure_domains]
near-a = "near"
near-b = "near"
"""
FORWARDER_TEXT = """role = "forwarder"
{fleet}[listen]
peers = "{peers}"
watch = "{watch}"
callers = "{callers}"
"""
LOADER_TEXT = """role = "loader"
{fleet}[listen]
peers = "{peers}"
watch = "{watch}"
[loader]
engine = "{engine}"
service = "{service}"
link_mbps = 4.7
"""


class SoakSite:
    """Daemons, targets, store, origin and proxies of one soak.

    :ivar callers: address of the port for callers, by forwarder.
    :ivar links: fault proxies, by name of the target behind the proxy or by
        ``DAEMON/store``.
    :ivar weights: version of the weights that operators set last.
    :ivar state: the desired state.
    :ivar forwarders: failure domain of each forwarder.

    :param forwarders: number of forwarders.
    :param targets: number of targets of each service; engines have a loader.
    :param seed: seed of the trouble of engines.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        forwarders: int = 3,
        targets: int = 2,
        seed: int = 0,
    ) -> None:
        self.folder = folder
        self._seed = seed
        self.forwarders = {
            f'entry-{number + 1}': DOMAINS[number % 3 // 2]
            for number in range(forwarders)
        }
        self._per_service = targets
        self.records = Records()
        self.store = FleetStore()
        rng = random.Random(f'{seed} pages')
        self.store.page_rows = rng.choice(PAGE_ROWS)
        self.targets: dict[str, SoakTarget] = {}
        self.children: dict[str, Child] = {}
        self.links: dict[str, LoopbackProxy] = {}
        self.callers: dict[str, str] = {}
        self.state = SoakState()
        self.weights = 1
        self.origin_down = False
        self._watch = Child(
            name='watch', module='fakes.soak_watch', log=folder / WATCH_LOG
        )
        # Version and incarnation in the row of each target.
        self._written: dict[str, tuple[int, int]] = {}
        self._restarts = DetachedTasks()
        self._stack = contextlib.AsyncExitStack()
        self._origin = ''

    async def open(self) -> None:
        """Start the stand-ins, then the daemons."""
        await self._watch.start(
            '--folder', str(self.folder), '--parent', str(os.getpid())
        )
        store = await self._serve(self.store.build_app())
        self._origin = await self._serve(self._build_origin())
        for service in PREFIXES:
            for number in range(self._per_service):
                await self._open_target(service, number)
        beating = asyncio.create_task(self._write_rows())
        self._stack.push_async_callback(end_task, beating)
        self._stack.push_async_callback(self._restarts.cancel)
        self.put_state()
        for name, domain in self.forwarders.items():
            await self._start_forwarder(name, domain, store)
        for target in self.list_engines():
            await self._start_loader(target, store)

    async def close(self) -> None:
        """Kill every process by its id, then stop the stand-ins."""
        for child in (*self.children.values(), self._watch):
            child.send(signal.SIGCONT)
            child.send(signal.SIGKILL)
            if child.running:
                await child.wait()
        await self._stack.aclose()

    def list_targets(self, service: str) -> list[SoakTarget]:
        """List the targets of one service."""
        return [
            target
            for target in self.targets.values()
            if target.service == service
        ]

    def list_engines(self) -> list[SoakTarget]:
        """List the engines of all models."""
        return [each for each in self.targets.values() if each.has_engine]

    def put_target(self, name: str) -> None:
        """Write the store row of a target from its present state."""
        target = self.targets[name]
        row: dict[str, object] = {
            'service': target.service,
            'address': self.links[name].address,
            'zone': target.domain,
            'slots': 16,
            'state': 'draining' if target.is_leaving else 'ready',
            'cold_left_ms': 0,
            'born': target.born,
        }
        if target.has_engine:
            row |= target.describe_weights()
        self.store.put('servers', name, row)
        self._written[name] = target.version, target.born

    def set_leaving(self, name: str, *, is_listed: bool) -> None:
        """Let the store tell that a target leaves, or that it has left."""
        self.targets[name].is_leaving = True
        if is_listed:
            self.put_target(name)
        else:
            self.store.drop('servers', name)

    def come_back(self, name: str) -> None:
        """Register another incarnation of a target that had left."""
        target = self.targets[name]
        target.is_leaving = False
        target.born += 1
        self.put_target(name)

    def list_reader_links(self) -> list[str]:
        """List the links to the store of a failure domain's two readers."""
        domain = DOMAINS[0]
        near = [name for name, of in self.forwarders.items() if of == domain]
        ranked = sorted(near, key=lambda name: score_pair(domain, name))
        return [f'{name}/store' for name in ranked[:MAX_READERS]]

    def put_state(self) -> None:
        """Write the desired state to the store under the next version."""
        at = time.monotonic()
        content = self.state.build(origin=self._origin, at=at)
        self._put_as_operator('config', content)

    def set_withdrawn(self, domain: str, *, is_withdrawn: bool) -> None:
        """Withdraw a failure domain, or take the withdrawal back."""
        key = f'evacuate/{domain}'
        if is_withdrawn:
            self._put_as_operator(key, {})
        else:
            self.store.drop('op', key)
            self._note_change()

    def set_trouble(self, *, is_on: bool) -> None:
        """Begin or end the trouble of engines with calls of their loaders."""
        for target in self.list_engines():
            target.trouble.is_on = is_on

    def set_weights_version(self) -> None:
        """Set the next version of the weights of each model at once."""
        self.weights += 1
        for model in MODELS.values():
            self._put_as_operator(
                f'version/{model}', {'model': model, 'version': self.weights}
            )
        self.records.named[self.weights] = time.monotonic()

    async def start_child(self, name: str) -> None:
        """Start a daemon, also after its end."""
        path = str(self.folder / f'{name}.toml')
        await self.children[name].start('--settings', path)

    def change_settings(self, name: str) -> None:
        """Change a bound in the settings file of a daemon, or restore it."""
        path = self.folder / f'{name}.toml'
        text = path.read_text()
        old, new = RESERVES if RESERVES[0] in text else RESERVES[::-1]
        # The daemon also reads the file without a signal.
        written = path.with_suffix('.new')
        written.write_text(text.replace(old, new))
        written.replace(path)

    def _put_as_operator(self, key: str, content: dict[str, object]) -> None:
        self._note_change()
        self.store.put('op', key, content)

    def _note_change(self) -> None:
        self.records.planned.append(
            PlannedWork(kind=PlannedKind.CHANGE, whom='', at=time.monotonic())
        )

    async def _write_rows(self) -> None:
        """Write the rows of targets that are not as they were."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if self.store.down or self.store.silent:
                continue
            for name, target in self.targets.items():
                is_listed = self.store.read('servers', name) is not None
                state = target.version, target.born
                if is_listed and self._written[name] != state:
                    self.put_target(name)

    async def _start_forwarder(
        self, name: str, domain: str, store: str
    ) -> None:
        link = self.links[f'{name}/store'] = await self._link(store)
        fleet = FLEET_TEXT.format(name=name, domain=domain, store=link.address)
        self.callers[name] = pick_address()
        text = FORWARDER_TEXT.format(
            fleet=fleet,
            peers=pick_address(),
            watch=pick_address(),
            callers=self.callers[name],
        )
        await self._start(name, text)

    async def _open_target(self, service: str, number: int) -> None:
        name = f'{PREFIXES[service]}-{number + 1}'
        target = SoakTarget(
            name=name,
            service=service,
            domain=DOMAINS[number % len(DOMAINS)],
            records=self.records,
            version=int(service in MODELS),
            model=MODELS.get(service, MODEL),
            seed=self._seed,
        )
        self.targets[name] = target
        if not target.has_engine:
            target.note_crash = functools.partial(self._restart_target, target)
        self.links[name] = await self._link(
            await self._serve(target.build_app())
        )
        self.put_target(name)

    def _restart_target(self, target: SoakTarget) -> None:
        """Let a target that has crashed come back as another incarnation."""

        async def come_back() -> None:
            await asyncio.sleep(DOWN_SECONDS)
            target.born += 1
            target.closed = False
            if not (self.store.down or self.store.silent):
                self.put_target(target.name)

        self._restarts.spawn(come_back())

    async def _start_loader(self, target: SoakTarget, store: str) -> None:
        name = name_loader(target)
        link = self.links[f'{name}/store'] = await self._link(store)
        fleet = FLEET_TEXT.format(
            name=name, domain=target.domain, store=link.address
        )
        text = LOADER_TEXT.format(
            fleet=fleet,
            peers=pick_address(),
            watch=pick_address(),
            engine=self.links[target.name].address,
            service=target.service,
        )
        await self._start(name, text)

    async def _start(self, name: str, text: str) -> None:
        (self.folder / f'{name}.toml').write_text(text)
        self.children[name] = Child(
            name=name,
            module='ragwortcourse.daemon',
            log=self.folder / f'{name}.log',
        )
        await self.start_child(name)

    async def _serve(self, app: web.Application) -> str:
        server = TestServer(app)
        # A silent store never answers, so its calls must be cut off.
        await server.start_server(shutdown_timeout=CLOSE_SECONDS)
        self._stack.push_async_callback(server.close)
        return f'127.0.0.1:{server.port}'

    async def _link(self, server: str) -> LoopbackProxy:
        link = LoopbackProxy(server=server)
        await link.start()
        self._stack.push_async_callback(link.stop)
        return link

    def _build_origin(self) -> web.Application:
        def check() -> None:
            if self.origin_down:
                raise web.HTTPServiceUnavailable

        async def read_manifest(request: web.Request) -> web.Response:
            check()
            model = request.match_info['model']
            version = int(request.query['version'])
            digests = [
                digest_bytes(make_piece(model, version, index))
                for index in range(CHUNKS)
            ]
            return web.json_response(
                {'model': model, 'version': version, 'digests': digests}
            )

        async def read_piece(request: web.Request) -> web.Response:
            check()
            version = int(request.query['version'])
            index = int(request.query['num'])
            model = request.match_info['model']
            return web.Response(body=make_piece(model, version, index))

        app = web.Application()
        app.add_routes(
            [
                web.get('/manifest/{model}', read_manifest),
                web.get('/piece/{model}', read_piece),
            ]
        )
        return app


def name_loader(target: SoakTarget) -> str:
    """Return the name of the loader beside an engine."""
    return f'loader-{target.name}'


def list_errors(path: pathlib.Path) -> list[str]:
    """List the errors in the log of a daemon, and tracebacks beside it."""
    found = []
    for line in path.read_text().splitlines():
        try:
            is_error = json.loads(line)['level'] in ERROR_LEVELS
        except json.JSONDecodeError:
            is_error = 'Traceback' in line
        if is_error:
            found.append(line)
    return found


async def wait_ready(site: SoakSite) -> None:
    """Wait until every forwarder accepts connections.

    :raises TimeoutError: not all accepted in time.
    """
    seconds = START_SECONDS + START_SECONDS_EACH * len(site.children)
    async with asyncio.timeout(seconds):
        for address in site.callers.values():
            host, _, port = address.rpartition(':')
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.close()
                    break
                await asyncio.sleep(0.05)

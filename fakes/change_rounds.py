"""Rounds in which all around requests is changed while they are served.

Each round draws from its seed requests of every kind, what their targets do,
and changes of the operators' and targets' rows, reloads and stops around
them. A whole daemon serves them in virtual time. A request that it has
received whole gets a complete answer or a true refusal, unless its target
broke off or its time was up. Play many with ``python -m fakes.change_rounds
--seeds 200``.
"""

import asyncio
import contextlib
import math
import pathlib
import random
import signal
import tempfile
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import SimpleNamespace
from typing import Any, TypeVar, cast
from unittest import mock

import click
import looptime

from fakes.change_judge import Asked, Circumstances, judge
from fakes.change_plans import (
    AFTER_SECONDS,
    BEFORE_SECONDS,
    RequestPlan,
    draw_requests,
)
from fakes.change_state import ROUTES, TARGETS, ChangingState
from fakes.change_target import Run, build_target
from fakes.fleet_parts import FLEET, FORWARDER_TEXT
from fakes.fleet_store import FleetStore
from fakes.memory_ports import MemoryPorts, use_memory_ports
from fakes.raw_caller import RawCaller, RawReply
from fakes.virtual_clocks import follow_loop
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding import calls
from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.call import Call
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.permission import permit_call
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.route import Route
from ragwortcourse.forwarding.version_bounds import START_MARGIN_SECONDS
from ragwortcourse.processes import forwarder_daemon
from ragwortcourse.processes.forwarder_daemon import ForwarderDaemon
from ragwortcourse.processes.service import DaemonService
from ragwortcourse.processes.sites import open_site
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.settings_file import read_settings

REQUESTS = 24
TRANSIT_SECONDS = 0.001
PORTS = {'peers': 1001, 'watch': 1002, 'callers': 1003, 'store': 1004}
LISTEN = {key: f'127.0.0.1:{port}' for key, port in PORTS.items()}
# The daemon has read all rows by then.
QUIET_SECONDS = 1.5
# A request that arrives last has reached its time limit by then.
ENDING_SECONDS = 8.0
CHANGES = 3
CHANGE_GAPS = (0.0, 0.05, 0.2, 0.5, 1.0)
# From the naming of a version to the first change, so that its bound is
# reached while requests run.
VERSION_LEADS = (6.0, 7.0, 7.8)
RELOADS = (
    ('revoke_ms = 5000', 'revoke_ms = 4500'),
    ('contact_ms = 3000', 'contact_ms = 2500'),
    ('version_ms = 8000', 'version_ms = 7500'),
    ('retry_reserve = 106', 'retry_reserve = 50'),
    ('apply_ms = 2000', 'apply_ms = 1500'),
    ('[fleet]', '[fleet'),
    ('[listen]', '[listening]'),
)
DOMAINS_TEXT = 'near-b = "near"\nfar-a = "far"\n'
WARM_PATH = '/open-lookups/warm'
Round = TypeVar('Round', bound='ChangeRound')
RELOAD, STOP, VERSION = 'SIGHUP', 'SIGTERM', 'version named'


class ChangeRound:
    """One daemon, its callers and targets, and the changes around them.

    :param folder: takes the settings file of the daemon.
    :param silences: true if sound targets may fall silent.
    :param kinds: names of the changes to draw from; empty for all.
    :param requests: plans of the requests; none to draw them.
    :ivar findings: what broke the promise, one text each.
    """

    def __init__(
        self,
        seed: int,
        *,
        folder: pathlib.Path,
        silences: bool,
        kinds: tuple[str, ...] = (),
        requests: Sequence[RequestPlan] | None = None,
    ) -> None:
        self.findings: list[str] = []
        self.asked: list[Asked] = []
        self._rng = random.Random(f'{seed} changes')
        self._kinds = kinds
        self._path = folder / 'entry-1.toml'
        self._ports = MemoryPorts(transit=TRANSIT_SECONDS)
        self._store = FleetStore(read_clock=read_clock)
        self.state = ChangingState(
            store=self._store, rng=random.Random(f'{seed} state')
        )
        self._requests = requests or draw_requests(
            random.Random(f'{seed} requests'),
            count=REQUESTS,
            routes=list(ROUTES),
            silences=silences,
        )
        self._plans = {plan.attempt: plan for plan in self._requests}
        self._runs: list[Run] = []
        self._routes: dict[str, Route] = {}
        self._terminated_at: float | None = None
        self._expired_at: float | None = None
        self._stopping: asyncio.Task[None] | None = None

    async def play(self) -> None:
        """Play the round and collect the findings."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._note_error)
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(use_memory_ports(loop, self._ports))
            stack.enter_context(self._note_routes())
            await self._open_others(stack)
            self._service = await self._open_daemon(stack, self._path, LISTEN)
            await asyncio.sleep(QUIET_SECONDS)
            drawn = self._draw_changes()
            lead = self._rng.choice(VERSION_LEADS) if VERSION in drawn else 0
            first_at = read_clock() + max(BEFORE_SECONDS + 1, lead)
            asking = [
                asyncio.ensure_future(self._ask(plan, first_at))
                for plan in self._requests
            ]
            await self._change(drawn, first_at, lead)
            last = max(AFTER_SECONDS, *(plan.after for plan in self._requests))
            ends_at = first_at + last + ENDING_SECONDS
            await asyncio.sleep(ends_at - read_clock())
            for each in asking:
                each.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
            self._judge()

    @property
    def _forwarder(self) -> Forwarder:
        return cast('ForwarderDaemon', self._service.daemon).forwarder

    async def _open_others(self, stack: contextlib.AsyncExitStack) -> None:
        runner = await open_site(
            address=LISTEN['store'], routes=self._store.build_routes()
        )
        stack.push_async_callback(runner.cleanup)
        self.state.write()
        for name in TARGETS:
            target = build_target(name, self._plans, self._runs)
            await target.start()
            stack.push_async_callback(target.stop)
            self.state.list_target(name, target.address)

    async def _open_daemon(
        self,
        stack: contextlib.AsyncExitStack,
        path: pathlib.Path,
        listen: Mapping[str, str],
    ) -> DaemonService:
        settings = _write_settings(path, listen)
        service = DaemonService(settings=settings, path=path)
        service.set_loop(asyncio.get_running_loop())
        starting = asyncio.ensure_future(service.start())
        await service.start_event.wait()
        stack.push_async_callback(self._stop, service, starting)
        return service

    async def _stop(
        self, service: DaemonService, starting: asyncio.Task[None]
    ) -> None:
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        if service is self._service and self._stopping is not None:
            await self._stopping
        else:
            await service.stop()

    def _list_changes(self) -> dict[str, Callable[[], None]]:
        return {
            **self.state.list_changes(),
            RELOAD: self._reload,
            STOP: self._terminate,
            VERSION: self._note_named,
        }

    def _draw_changes(self) -> list[str]:
        known = self._list_changes()
        kinds = self._kinds or tuple(known)
        count = min(self._rng.randint(1, CHANGES), len(kinds))
        return self._rng.sample(kinds, count)

    async def _change(
        self, drawn: list[str], first_at: float, lead: float
    ) -> None:
        if VERSION in drawn:
            await asyncio.sleep(first_at - lead - read_clock())
            self.state.name_version()
            self._expired_at = (
                read_clock()
                + self._forwarder.fleet.version_ms / 1000
                - START_MARGIN_SECONDS
            )
        await asyncio.sleep(first_at - read_clock())
        changes = self._list_changes()
        for name in drawn:
            self.state.note(name)
            changes[name]()
            await asyncio.sleep(self._rng.choice(CHANGE_GAPS))

    def _note_named(self) -> None:
        """Do nothing: the version was named before."""

    def _reload(self) -> None:
        before, after = self._rng.choice(RELOADS)
        text = self._path.read_text()
        self._path.write_text(text.replace(before, after))
        self._ports.raise_signal(signal.SIGHUP)

    def _terminate(self) -> None:
        self._terminated_at = read_clock()
        self._stopping = asyncio.ensure_future(self._exit())

    async def _exit(self) -> None:
        """End the daemon, whose exit closes all its connections."""
        await self._service.stop()
        for end in self._ports.accepted.get(PORTS['callers'], ()):
            end.abort()

    async def _ask(self, plan: RequestPlan, first_at: float) -> None:
        caller = RawCaller(port=PORTS['callers'])
        asks_at = first_at + plan.after
        await asyncio.sleep(asks_at - plan.lead - read_clock())
        # A refused connection means that callers go to another daemon.
        with contextlib.suppress(ConnectionRefusedError):
            is_open = plan.reuses and await self._warm_up(caller)
            await asyncio.sleep(asks_at - read_clock())
            if not is_open:
                await caller.open()
            await self._note(plan, caller)
            caller.close()

    async def _warm_up(self, caller: RawCaller) -> bool:
        """Send a first request; return whether its connection is kept."""
        await caller.open()
        headers = [('Host', 'desk.example'), ('Ragwortcourse-Attempt-Id', 'w')]
        reply = await caller.ask(WARM_PATH, headers, [(0, b'warm')])
        return reply.is_whole and reply.headers.get('connection') != 'close'

    async def _note(self, plan: RequestPlan, caller: RawCaller) -> None:
        body = [
            (pause, f'{plan.attempt} {number}'.encode())
            for number, pause in enumerate(plan.body_pauses)
        ]
        reply = await caller.ask(plan.path, plan.list_headers(), body)
        self.asked.append(self._describe(plan, caller, reply))

    def _describe(
        self, plan: RequestPlan, caller: RawCaller, reply: RawReply
    ) -> Asked:
        route = self._routes.get(plan.attempt)
        limits = (
            plan.deadline,
            math.inf if route is None else route.time_limit,
        )
        return Asked(
            plan=plan,
            reply=reply,
            runs=[run for run in self._runs if run.attempt == plan.attempt],
            limit_at=reply.began_at + TRANSIT_SECONDS + min(limits),
            may_repeat=route is not None and route.may_repeat,
            transit=TRANSIT_SECONDS,
            closed_at=self._find_closed(caller),
        )

    @contextlib.contextmanager
    def _note_routes(self) -> Iterator[None]:
        """Note the route of each request as it was in force on arrival."""

        def permit(
            state: FleetState, fleet: FleetSettings, call: Call
        ) -> tuple[Route, Account | None] | Refusal:
            permitted = permit_call(state, fleet, call)
            if call.attempt is not None and not isinstance(permitted, Refusal):
                self._routes[call.attempt] = permitted[0]
            return permitted

        with mock.patch.object(calls, 'permit_call', permit):
            yield

    def _note_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get('exception') or context['message']
        self.findings.append(f'unhandled: {error!r}')

    def _find_closed(self, caller: RawCaller) -> float | None:
        return next(
            end.closed_at
            for ends in self._ports.accepted.values()
            for end in ends
            if end.get_extra_info('peername') == caller.own
        )

    def _judge(self) -> None:
        around = Circumstances(
            refusable=self.state.refusable,
            grace_seconds=FLEET.grace_seconds,
            terminated_at=self._terminated_at,
            expired_at=self._expired_at,
        )
        if self._service.broken:
            self.findings.append('the daemon ended by itself')
        for asked in self.asked:
            text = judge(asked, around)
            if text is not None:
                self.findings.append(f'{text}: {describe_asked(asked)}')

    def describe_changes(self) -> list[str]:
        """Describe the changes in order of time."""
        return [f'{at:.2f} {name}' for at, name in self.state.changes]


def _write_settings(path: pathlib.Path, listen: Mapping[str, str]) -> Settings:
    """Write the settings of a daemon that is named as its file."""
    text = FORWARDER_TEXT.format(**listen) + DOMAINS_TEXT
    path.write_text(text.replace('entry-1', path.stem))
    return cast('Settings', read_settings(path))


def describe_asked(asked: Asked) -> str:
    """Describe a request and its runs."""
    reply = asked.reply
    runs = [
        f'{run.target} {run.began_at:.2f} to {run.ended_at or 0:.2f} {run.end}'
        f' after {run.parts} parts'
        for run in asked.runs
    ]
    return (
        f'{asked.plan.route} {asked.plan.attempt} from {reply.began_at:.2f} '
        f'to {reply.ended_at or 0:.2f}, limit {asked.limit_at:.2f}, '
        f'status {reply.status}, runs {runs}'
    )


def list_kinds() -> list[str]:
    """List the names of all changes that rounds draw from."""
    state = ChangingState(store=FleetStore(), rng=random.Random())
    return [*state.list_changes(), RELOAD, STOP, VERSION]


def play_round(
    seed: int, *, silences: bool = True, kinds: tuple[str, ...] = ()
) -> ChangeRound:
    """Play the round of a seed in virtual time."""
    return play(
        seed,
        lambda folder: ChangeRound(
            seed, folder=folder, silences=silences, kinds=kinds
        ),
    )


def play(seed: int, build: Callable[[pathlib.Path], Round]) -> Round:
    """Play a round in virtual time.

    :param build: builds the round, given a folder for settings files.
    """
    loop = looptime.new_event_loop(noop_cycles=0)
    try:
        with follow_loop(), _seed_daemon(seed), _open_folder() as folder:
            played = loop.run_until_complete(_play(folder, build))
    finally:
        loop.close()
    return played


async def _play(
    folder: pathlib.Path, build: Callable[[pathlib.Path], Round]
) -> Round:
    played = build(folder)
    await played.play()
    return played


@contextlib.contextmanager
def _open_folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


@contextlib.contextmanager
def _seed_daemon(seed: int) -> Iterator[None]:
    """Let the daemon draw the same in each play."""
    seeded = SimpleNamespace(Random=lambda: random.Random(f'{seed} daemon'))
    with mock.patch.object(forwarder_daemon, 'random', seeded):
        yield


@click.command()
@click.option('--seeds', default=50, help='Number of rounds.')
@click.option('--first', default=1, help='Seed of the first round.')
@click.option(
    '--silences/--no-silences',
    default=True,
    help='Whether sound targets fall silent and go on.',
)
@click.option('--kind', 'kinds', multiple=True, help='Changes to draw from.')
def main(
    seeds: int, first: int, *, silences: bool, kinds: tuple[str, ...]
) -> None:
    """Play rounds and print what happened in those with findings."""
    play_many(
        range(first, first + seeds),
        lambda seed: play_round(seed, silences=silences, kinds=kinds),
    )


def play_many(seeds: range, play_one: Callable[[int], ChangeRound]) -> None:
    """Play the rounds of some seeds and print their findings."""
    broken = []
    requests = 0
    for seed in seeds:
        played = play_one(seed)
        requests += len(played.asked)
        if played.findings:
            broken.append(seed)
            click.echo(f'seed {seed}: {len(played.findings)} findings')
            for text in (*played.describe_changes(), *played.findings):
                click.echo(f'  {text}')
    click.echo(f'{len(seeds)} seeds, {requests} requests, broken: {broken}')


if __name__ == '__main__':
    main()

"""Requests that crash their targets late, after a silence was noted.

Guards against the failure of issue 58, BUDGET: answers that a target gave to
others while the run was silent counted as proof that it outlived the run, so
that its later end counted nowhere and the request was passed on for ever.
"""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestServer

from fakes.child import Child
from fakes.crash_daemon import REQUEST, CrashDaemon
from fakes.fleet_parts import FLEET, FORWARDER_TEXT
from fakes.fleet_store import FleetStore
from fakes.fleet_target import FleetTarget, Received, ScriptedConnection
from fakes.ports import pick_address
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_messages import (
    CrashReport,
    read_report,
    write_report,
)
from ragwortcourse.forwarding.crash_rules import RULES
from ragwortcourse.forwarding.lost_run import Fate, LostRun, RunEnd
from ragwortcourse.identifiers import TargetName

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Sendings that the users allow later than that after the third crash.
ALLOWED_RETRIES = 3


class Silence:
    """Run of a request at one target that is noted as silent first."""

    def __init__(self, daemon: CrashDaemon, name: str) -> None:
        self.daemon = daemon
        self.name = name
        self.sent_at = read_clock_with_suspend()

    async def fall_silent(self) -> None:
        """Note the silence, and an answer of the target to somebody else."""
        await asyncio.sleep(0.7)
        self.daemon.cut(self.name, sent_at=self.sent_at, end=RunEnd.SILENT)
        await asyncio.sleep(0.1)
        self.daemon.answered[self.name] = read_clock_with_suspend()
        self.daemon.guard.settle()
        await asyncio.sleep(0.2)

    def crash(self) -> None:
        """End the target under the run."""
        self.daemon.cut(self.name, sent_at=self.sent_at)
        self.daemon.end(self.name)


@pytest.mark.looptime
class TestCrashGuard:
    """Verdicts on requests whose runs were silent before they ended."""

    async def test_crash_after_a_silence(self):
        """Three targets that answer others until they end are three crashes."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            run = Silence(daemon, name)
            await run.fall_silent()
            assert daemon.verdict is not Verdict.REFUSED
            run.crash()
        assert daemon.verdict is Verdict.REFUSED

    async def test_silence_that_ends_with_an_answer(self):
        """A slow request is no suspect, however often it is silent."""
        daemon = CrashDaemon('a', 'b', 'c', 'd', 'e', 'f')
        for name in 'abcdef':
            await Silence(daemon, name).fall_silent()
            daemon.guard.note_answered([REQUEST])
        assert daemon.verdict is Verdict.ALLOWED

    async def test_silent_targets_that_live(self):
        """Targets that were silent and answered others have not crashed."""
        daemon = CrashDaemon('a', 'b', 'c', 'd')
        for name in 'abcd':
            await Silence(daemon, name).fall_silent()
        assert daemon.verdict is Verdict.ALLOWED

    async def test_cut_by_a_target_that_lives(self):
        """A target that cuts a silent run and answers others has survived."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            run = Silence(daemon, name)
            await run.fall_silent()
            daemon.cut(name, sent_at=run.sent_at)
            await asyncio.sleep(0.1)
            daemon.answered[name] = read_clock_with_suspend()
        assert daemon.verdict is Verdict.ALLOWED

    async def test_word_of_another_daemon(self):
        """Who took the target for a survivor learns of its end, too."""
        daemon, other = (CrashDaemon('a', 'b', 'c') for _ in range(2))
        for name in 'abc':
            run = Silence(daemon, name)
            await run.fall_silent()
            daemon.sender.send_round(['p1'], repeats=False)
            other.deliver(daemon)
            other.answered[name] = read_clock_with_suspend()
            other.guard.settle()
            await asyncio.sleep(0.05)
            run.crash()
            other.end(name)
            daemon.sender.send_round(['p1'], repeats=False)
            other.sender.send_round(['p1'], repeats=False)
            other.deliver(daemon)
            daemon.deliver(other)
        assert daemon.verdict is Verdict.REFUSED
        assert other.verdict is Verdict.REFUSED

    @pytest.mark.parametrize('end', [RunEnd.SILENT, RunEnd.CUT])
    async def test_second_loss_at_one_target(self, end):
        """A loss that the target has outlived hides no crash of later."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name, end=end)
            await asyncio.sleep(1)
            daemon.answered[name] = read_clock_with_suspend()
            await daemon.lose(name, end=end)
            daemon.end(name)
        assert daemon.verdict is Verdict.REFUSED

    async def test_crash_after_an_answer(self):
        """A loss that an answer has cleared hides no crash of later."""
        daemon = CrashDaemon('a', 'b', 'c')
        for name in 'abc':
            await daemon.lose(name)
        daemon.guard.note_answered([REQUEST])
        await asyncio.sleep(1)
        for name in 'abc':
            await daemon.lose(name)
            daemon.end(name)
        assert daemon.verdict is Verdict.REFUSED


class TestReports:
    """Reports between daemons of different releases."""

    SUSPECT = Suspect(kind=SuspectKind.REQUEST, name='a1')

    def read(self, report: CrashReport) -> list[LostRun]:
        """Read the runs of a report, with ages counted from 100 s."""
        _, evidence = read_report(report, 100)
        return list(evidence.runs.values())

    def test_round_trip(self):
        """All that a run says is in its report."""
        run = LostRun(
            target=TargetName('a'),
            born=1,
            sent_at=90,
            lost_at=95,
            end=RunEnd.CUT,
            ended_at=96,
            fate=Fate.ENDED,
            losses=2,
        )
        evidence = CrashEvidence(rules=RULES[SuspectKind.REQUEST])
        evidence.note_run(run)
        assert self.read(write_report(self.SUSPECT, evidence, 100)) == [run]

    def test_older_release(self):
        """A report without the later fields means the first loss."""
        report = msgspec.json.decode(
            b'["a1", [["a", 1, 10.0, 5.0, 1, 2]], null]', type=CrashReport
        )
        (run,) = self.read(report)
        assert (run.lost_at, run.ended_at, run.losses) == (95, 95, 0)


CRASHER = b'crasher'
LIMITS_MS = {'lookups': 1500, 'streams': 6000}
ROUTES = [
    {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': LIMITS_MS[name],
        'slo_ms': 404,
        'priority': 1,
        'service': 'plain',
        'max_attempts': 2,
        'resumable': kind == 'streaming',
        'gap_target_ms': 400,
    }
    for name, kind in (('lookups', 'idempotent'), ('streams', 'streaming'))
]
STATE = {
    'version': 1,
    'routes': ROUTES,
    'services': [{'name': 'plain', 'max_conns': 500}],
    'tenants': [{'name': 'parents', 'api_keys': ['a-key']}],
}
BACK_SECONDS = 2.0
TARGETS = 4
FORWARDERS = 3
OTHERS_PER_SECOND = 80


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """When a request crashes the target that runs it.

    :param seconds: from the start of the run to the crash.
    :param events: events of the answer before the crash.
    """

    route: str
    seconds: float
    every: float
    events: int = 0


class Fleet:
    """Forwarder processes and targets that end under a request."""

    def __init__(self, crash: Crash) -> None:
        self.crash = crash
        self.store = FleetStore()
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self._connections: dict[str, set[ScriptedConnection]] = {}
        self._numbers = itertools.count()
        self._callers: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, folder, stack: contextlib.AsyncExitStack) -> None:
        """Start everything; the stack ends it."""
        server = TestServer(self.store.build_app())
        await server.start_server()
        stack.push_async_callback(server.close)
        self.store.put('op', 'config', STATE)
        for _ in range(TARGETS):
            await self._start_target()
        stack.push_async_callback(self._end_tasks)
        for number in range(1, FORWARDERS + 1):
            listen = {n: pick_address() for n in ('peers', 'watch', 'callers')}
            path = folder / f'entry-{number}.toml'
            text = FORWARDER_TEXT.replace('entry-1', f'entry-{number}')
            path.write_text(
                text.format(store=f'127.0.0.1:{server.port}', **listen)
            )
            child = Child(
                name=f'entry-{number}',
                module='ragwortcourse.daemon',
                log=folder / f'entry-{number}.log',
            )
            await child.start('--settings', str(path))
            stack.push_async_callback(child.stop)
            self._callers.append(listen['callers'])
        await asyncio.sleep(CONTACT_SECONDS + 2)

    async def ask(self, path: str, body: bytes = b'') -> int:
        """Send a request; return zero without an answer."""
        number = next(self._numbers)
        address = self._callers[number % len(self._callers)]
        route = path.split('/')[1]
        headers = {
            'Host': 'desk.example',
            'Authorization': 'Bearer a-key',
            'Ragwortcourse-Attempt-Id': f'a{number}',
            'Ragwortcourse-Deadline-Ms': str(LIMITS_MS[route]),
        }
        timeout = aiohttp.ClientTimeout(total=LIMITS_MS[route] / 1000 + 0.1)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f'http://{address}{path}', headers=headers, data=body
                ) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def send(self, count: int) -> list[int]:
        """Send the request that crashes targets beside others.

        :return: statuses of the others.
        """
        asked = []
        others = []
        path = f'/{self.crash.route}/1'
        per_turn = int(self.crash.every * OTHERS_PER_SECOND)
        for _ in range(count):
            asked.append(asyncio.ensure_future(self.ask(path, CRASHER)))
            for _ in range(per_turn):
                other = self.ask(f'/lookups/{next(self._numbers)}')
                others.append(asyncio.ensure_future(other))
                await asyncio.sleep(self.crash.every / per_turn)
        await asyncio.gather(*asked)
        return await asyncio.gather(*others)

    async def _start_target(self) -> None:
        name = f'i-{next(self._numbers)}'
        connections: set[ScriptedConnection] = set()

        async def serve(
            received: Received, connection: ScriptedConnection
        ) -> None:
            connections.add(connection)
            if received.body == CRASHER:
                self.arrivals.append(read_clock())
                await self._run(received, connection)
                self._end(name, target, connections)
            else:
                await asyncio.sleep(0.02)
                await connection.answer(received)
            connections.discard(connection)

        target = FleetTarget(serve)
        await target.start()
        row = {'service': 'plain', 'address': target.address, 'slots': 6}
        row |= {'zone': 'near-a', 'state': 'ready', 'cold_left_ms': 0}
        self.store.put('servers', name, row)

    async def _run(
        self, received: Received, connection: ScriptedConnection
    ) -> None:
        if self.crash.events:
            await connection.begin(
                received,
                content_type='text/event-stream',
                transfer_encoding='chunked',
            )
            await connection.send_events(0, self.crash.events)
        await asyncio.sleep(self.crash.seconds)

    def _end(
        self,
        name: str,
        target: FleetTarget,
        connections: set[ScriptedConnection],
    ) -> None:
        """End a target as a killed process does; it comes back as another."""
        self.crashes.append(read_clock())
        for connection in connections:
            connection.reset()

        async def come_back() -> None:
            await target.stop()
            await asyncio.sleep(BACK_SECONDS)
            self.store.drop('servers', name)
            await self._start_target()

        task = asyncio.ensure_future(come_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_tasks(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def open_fleet(crash: Crash, folder) -> AsyncIterator[Fleet]:
    """Open a fleet for the time of the body."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(crash)
        await fleet.open(folder, stack)
        yield fleet


class TestProcesses:
    """Forwarder processes that get a crashing request again and again."""

    @pytest.mark.parametrize(
        'crash',
        [
            Crash(route='lookups', seconds=1.0, every=1.3),
            Crash(route='lookups', seconds=1.35, every=1.3),
            Crash(route='streams', seconds=1.5, every=1.5, events=4),
            Crash(route='streams', seconds=2.5, every=1.5),
        ],
        ids=lambda crash: f'{crash.route}-{crash.seconds}-{crash.events}',
    )
    async def test_request_is_refused(self, crash, tmp_path):
        """A request that crashed three targets is passed on no more."""
        async with open_fleet(crash, tmp_path) as fleet:
            others = await fleet.send(14)
        assert len(fleet.crashes) >= 3
        known_from = fleet.crashes[2] + CONTACT_SECONDS
        late = [at for at in fleet.arrivals if at > known_from]
        assert len(late) <= ALLOWED_RETRIES
        assert others.count(200) >= len(others) * 0.9

"""Short soaks of real daemons, with seeds that once found a fault.

Further tests check the soak itself: its schedule, its stall detection and
whether each check reports the violation that it is for.
"""

import asyncio
import itertools
import os
import pathlib
import random
import signal
import subprocess
import time
import uuid
from collections.abc import Callable
from types import MappingProxyType

import pytest
from aiohttp import ServerDisconnectedError
from aiohttp.test_utils import TestClient, TestServer

from fakes import soak_site, soak_target, soak_trouble
from fakes.soak import Soak, run_soak
from fakes.soak_body import SIZES, make_body, send_body
from fakes.soak_checks import list_findings
from fakes.soak_losses import list_losses
from fakes.soak_operation import Operation
from fakes.soak_plan import (
    CHANGES,
    HALF_SILENT,
    RESTORE,
    Fault,
    plan_changes,
    plan_faults,
)
from fakes.soak_proxy import LoopbackProxy
from fakes.soak_records import (
    Ending,
    InjectedFault,
    Kind,
    PlannedKind,
    PlannedWork,
    Records,
    SentRequest,
    TargetRun,
)
from fakes.soak_setup import SoakSetup
from fakes.soak_silence import draw_silence
from fakes.soak_site import SoakSite, list_errors
from fakes.soak_stage import CHUNKS, make_piece
from fakes.soak_state import ENGINES
from fakes.soak_target import (
    CRASH_PATH,
    EVENTS,
    MODEL,
    OTHER_MODEL,
    SoakTarget,
    make_answer,
)
from fakes.soak_trouble import EngineCall
from fakes.soak_watch import (
    NOTED_SECONDS,
    SOAK,
    find_processes,
    read_counts,
    read_watch,
    record_stalls,
)
from ragwortcourse.detached_tasks import end_task

# Each with the cause of its finding, if it once had one.
SETUPS = {
    'faults': SoakSetup(seed=7, fault_seconds=6),
    # SIGHUP right after a restart ended a loader that had not set its handler.
    'hang up': SoakSetup(seed=1, fault_seconds=15),
    'planned': SoakSetup(seed=38, planned_seconds=12),
}
PROCESSES = {
    *(f'entry-{number}' for number in (1, 2, 3)),
    *(f'loader-{name}' for name in ('i-1', 'i-2', 'k-1', 'k-2')),
}
CHARGE = '/charges/1'
# The target has no silence of its own for this attempt.
HEADERS = {
    'Ragwortcourse-Attempt-Id': 'a1',
    'Ragwortcourse-Expect-Instance': 't-1',
}


def make_request(**changes: object) -> SentRequest:
    """Build the record of a charge that was served."""
    usual: dict[str, object] = {
        'attempt': 'a1',
        'kind': Kind.CHARGE,
        'key': 'parents-1',
        'daemon': 'entry-1',
        'path': CHARGE,
        'sent_at': 100.0,
        'ended_at': 100.1,
        'status': 200,
        'stamp': 'a1-stamp',
        'body': make_answer('a1', CHARGE),
    }
    return SentRequest(**{**usual, **changes})


def make_run(**changes: object) -> TargetRun:
    """Build the record of the run of that charge."""
    usual: dict[str, object] = {
        'attempt': 'a1',
        'target': 'p-1',
        'domain': 'near-b',
        'account': 'parents',
        'path': CHARGE,
        'key_seen': False,
        'body_intact': True,
        'version': 0,
        'at': 100.05,
    }
    return TargetRun(**{**usual, **changes})


def find(request: SentRequest, *runs: TargetRun, **records: object) -> str:
    """List the findings about one request, joined by spaces."""
    kept = Records(requests=[request], runs=list(runs), **records)
    return ' '.join(list_findings(kept))


def make_lost(**changes: object) -> SentRequest:
    """Build the record of a lookup that was cut."""
    usual: dict[str, object] = {
        'kind': Kind.LOOKUP,
        'whole_at': 100.0,
        'ended_at': 100.5,
        'ending': Ending.CUT,
        'status': None,
        'stamp': '',
        'body': '',
    }
    return make_request(**{**usual, **changes})


def make_silent_run(**changes: object) -> TargetRun:
    """Build the record of a run that was closed in the middle of a silence."""
    usual: dict[str, object] = {
        'ended_at': 100.4,
        'ending': Ending.LEFT,
        'silences': [(100.1, 101.0)],
    }
    return make_run(**{**usual, **changes})


def make_fault(**changes: object) -> InjectedFault:
    """Build the record of a fault that ended before the request was sent."""
    usual: dict[str, object] = {'began_at': 96.0, 'ended_at': 98.0}
    return InjectedFault(**{**usual, **changes})


def find_loss(
    *,
    work: dict[str, object] | None = MappingProxyType(
        {'kind': PlannedKind.STOP, 'at': 99.0}
    ),
    runs: list[TargetRun] | None = None,
    faults: list[InjectedFault] = (),
    others: list[SentRequest] = (),
    named: dict[int, float] = MappingProxyType({}),
    **changes: object,
) -> str:
    """List the losses of a lookup that was cut, joined by spaces.

    :param work: planned work beside it, by default a stop of its daemon.
    :param runs: runs of the lookup, by default one that the daemon closed.
    :param others: further requests.
    :param named: times at which versions of weights were set.
    :param changes: fields of the record of the lookup.
    """
    if runs is None:
        runs = [make_run(ended_at=100.5, ending=Ending.LEFT)]
    own = [
        make_run(attempt=each.attempt, at=each.sent_at, ended_at=each.ended_at)
        for each in others
    ]
    # Without another daemon nobody is apart from a fault.
    idle = make_request(attempt='idle', daemon='entry-2', sent_at=10.0)
    records = Records(
        requests=[make_lost(**changes), *others, idle],
        runs=[*runs, *own],
        faults=list(faults),
        planned=[PlannedWork(**{'whom': 'entry-1', **work})] if work else [],
        named=dict(named),
    )
    return ' '.join(list_losses(records))


def make_target(*, version: int) -> tuple[SoakTarget, Records]:
    """Build a target of its own, an engine if it has a version."""
    records = Records()
    target = SoakTarget(
        name='t-1',
        service='any',
        domain='near-a',
        records=records,
        version=version,
    )
    return target, records


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: it does not hold within five seconds.
    """
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


class TestSoak:
    """Soaks of real processes under faults."""

    @pytest.mark.processes
    @pytest.mark.parametrize('name', SETUPS)
    async def test_promises_hold(self, tmp_path, name):
        """Faults violate no guarantee, and all processes are watched."""
        findings, records = await run_soak(SETUPS[name], tmp_path)
        assert records.faults
        assert not findings
        watched = {
            name for line in read_watch(tmp_path) for name in line['processes']
        }
        assert watched == {SOAK, *PROCESSES}


class TestStandStill:
    """Stalls that a soak records."""

    async def test_own_loop(self):
        """A call that blocks the event loop is recorded as a stall."""
        stalls = []
        noting = asyncio.create_task(record_stalls(stalls))
        await asyncio.sleep(0)
        time.sleep(2 * NOTED_SECONDS)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        noting.cancel()
        assert stalls[0].seconds > NOTED_SECONDS

    def test_stopped_process(self):
        """A stopped process has state ``T``, and an ended one is not listed."""
        with subprocess.Popen(['sleep', '60']) as process:
            process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
            stopped = read_counts(process.pid)
            process.kill()
            os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
            # The process has ended, but its parent has not reaped it yet.
            left = list(find_processes(os.getpid(), pathlib.Path('/')))
        assert stopped.state == 'T'
        assert left == [(SOAK, os.getpid())]
        assert read_counts(process.pid) is None

    def test_own_processor_time(self):
        """The counters of a process include its time on a processor."""
        before = read_counts(os.getpid())
        until = time.process_time() + 0.2
        while time.process_time() < until:
            pass
        after = read_counts(os.getpid())
        assert after.ran - before.ran > 0.1


class TestLogs:
    """Errors in the logs of daemons."""

    def test_errors(self, tmp_path):
        """Errors and tracebacks are listed, and nothing else."""
        lines = [
            '{"level": "WARNING", "message": "store lost"}',
            '{"level": "ERROR", "message": "background task failed"}',
            '{"level": "ERROR", "message": "Task exception was never found"}',
            'Traceback (most recent call last):',
            'the end of a line that was cut off"}',
        ]
        path = tmp_path / 'entry-1.log'
        path.write_text('\n'.join(lines))
        assert list_errors(path) == lines[1:4]


class TestOperators:
    """Changes by operators in a soak."""

    @pytest.mark.looptime
    async def test_overlapping_withdrawals(self, tmp_path):
        """A failure domain stays withdrawn until its last withdrawal ends."""
        site = SoakSite(folder=tmp_path)
        soak = Soak(site=site, setup=SoakSetup(seed=1))
        fault = Fault(at=0, name='withdraw', whom='', seconds=1)
        first = asyncio.create_task(soak._inject(fault))
        await asyncio.sleep(1)
        second = asyncio.create_task(soak._inject(fault))
        await first
        assert site.store.read('op', 'evacuate/near-b') is not None
        await second
        assert site.store.read('op', 'evacuate/near-b') is None


class TestLeavingTargets:
    """Targets that leave and come back."""

    @pytest.mark.parametrize('is_listed', [False, True])
    async def test_leave(self, tmp_path, is_listed):
        """A target is draining or unlisted until another incarnation of it."""
        site = SoakSite(folder=tmp_path)
        site.targets['p-1'] = target = SoakTarget(
            name='p-1', service='plain', domain='near-a', records=site.records
        )
        site.links['p-1'] = LoopbackProxy(server='')
        site.set_leaving('p-1', is_listed=is_listed)
        row = site.store.read('servers', 'p-1')
        assert (row is None) is not is_listed
        assert row is None or b'draining' in row
        site.come_back('p-1')
        assert b'ready' in site.store.read('servers', 'p-1')
        assert target.born == 2


class TestRows:
    """Rows that engines write into the store."""

    async def test_follow_loads(self, tmp_path, monkeypatch):
        """A row names the version that its engine loaded last.

        While the store is down nothing is written.
        """
        monkeypatch.setattr(soak_site, 'BEAT_SECONDS', 0.01)
        site = SoakSite(folder=tmp_path)
        target = SoakTarget(
            name='i-1',
            service=ENGINES,
            domain='near-a',
            records=site.records,
            version=1,
        )
        site.targets['i-1'] = target
        site.links['i-1'] = LoopbackProxy(server='')
        site.put_target('i-1')
        before = site.store.read('servers', 'i-1')
        writing = asyncio.create_task(site._write_rows())
        site.store.down, target.version = True, 2
        await asyncio.sleep(0.1)
        assert site.store.read('servers', 'i-1') == before
        site.store.down = False
        await wait_until(lambda: site.store.read('servers', 'i-1') != before)
        assert b'"version":2' in site.store.read('servers', 'i-1').replace(
            b' ', b''
        )
        await end_task(writing)


class TestPlan:
    """Schedules of faults."""

    def test_same_seed(self):
        """The same seed gives the same faults."""
        plans = [
            plan_faults(seed=5, seconds=30, daemons=['d'], links=['l'])
            for _ in range(2)
        ]
        assert plans[0] == plans[1]

    def test_every_kind(self):
        """Schedules contain all kinds of faults, and most have overlaps."""
        rng = random.Random(1)
        names = set()
        overlaps = 0
        for _ in range(50):
            plan = plan_faults(
                seed=rng.randrange(1000),
                seconds=20,
                daemons=['d'],
                links=['l'],
            )
            names |= {fault.name for fault in plan}
            overlaps += any(
                first.at + first.seconds > second.at
                for first, second in itertools.pairwise(plan)
            )
        assert {'kill', 'pause', 'stop', 'hang up', 'silent', 'deaf'} <= names
        assert {'revoke', 'withdraw', 'weights', 'rows lapse', RESTORE} <= names
        assert Operation.LEAVE in names
        assert overlaps > 40

    def test_links_of_readers(self):
        """Links of readers are cut at one moment, and for as long."""
        plans = [
            plan_faults(
                seed=seed,
                seconds=20,
                daemons=['d'],
                links=['l'],
                reader_links=['a', 'b'],
            )
            for seed in range(20)
        ]
        cut = [
            {
                (fault.at, fault.seconds)
                for plan in plans
                for fault in plan
                if fault.whom == link
            }
            for link in ('a', 'b')
        ]
        assert cut[0]
        assert cut[0] == cut[1]

    def test_changes_same_seed(self):
        """The same seed gives the same planned work."""
        plans = [
            plan_changes(seed=5, seconds=30, daemons=['d'], services=['s'])
            for _ in range(2)
        ]
        assert plans[0] == plans[1]

    def test_every_change(self):
        """Planned work has all changes, in quick succession with signals."""
        plans = [
            plan_changes(
                seed=seed, seconds=20, daemons=['a', 'b'], services=['s']
            )
            for seed in range(20)
        ]
        names = {fault.name for plan in plans for fault in plan}
        assert names == {
            *CHANGES,
            Operation.WEIGHTS,
            Operation.LEAVE,
            HALF_SILENT,
            'stop',
            'hang up',
        }
        for plan in plans:
            gaps = [
                second.at - first.at
                for first, second in itertools.pairwise(plan)
            ]
            assert min(gaps) < 0.1
            assert max(gaps) > 0.5
            assert {'stop', 'hang up'} & {fault.name for fault in plan}


class TestSilence:
    """Targets that fall silent and go on."""

    def test_every_step(self):
        """A run may fall silent before each step, and most runs do not."""
        drawn = [draw_silence(f'a{number}', 't', 3) for number in range(2000)]
        silences = [each for each in drawn if each is not None]
        assert 100 < len(silences) < 400
        assert {each.step for each in silences} == {0, 1, 2}
        assert all(0.3 <= each.seconds <= 1.8 for each in silences)

    @pytest.mark.parametrize('version', [0, 1])
    async def test_goes_on(self, version):
        """A silent target goes on to the end of its answer."""
        target, records = make_target(version=version)
        async with TestClient(TestServer(target.build_app())) as client:
            target.silence.begin(0.4)
            async with asyncio.timeout(5):
                answer = await client.post('/letters/1', headers=HEADERS)
                body = await answer.text()
        [run] = records.runs
        assert body.count('id: ') == (EVENTS if version else 0)
        assert run.ending is Ending.COMPLETE
        assert run.silences[0][1] - run.at == pytest.approx(0.4, abs=0.1)

    async def test_client_closes(self):
        """A run that the client leaves is recorded as left, in its silence."""
        target, records = make_target(version=1)
        async with TestClient(TestServer(target.build_app())) as client:
            target.silence.begin(1.0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await client.post('/letters/1', headers=HEADERS)
            await wait_until(lambda: records.runs[0].ended_at)
        [run] = records.runs
        assert run.ending is Ending.LEFT
        assert run.silences[0][0] < run.ended_at < run.silences[0][1]

    async def test_load_order(self):
        """A run that a load order breaks off is recorded as cut."""
        target, records = make_target(version=1)
        async with TestClient(TestServer(target.build_app())) as client:
            target.silence.begin(1.0)
            answer = asyncio.create_task(
                client.post('/letters/1', headers=HEADERS)
            )
            await wait_until(lambda: records.runs)
            await client.post('/order', json={'version': 2})
            with pytest.raises(ServerDisconnectedError):
                await answer
        [run] = records.runs
        assert run.ending is Ending.CUT


class TestCrash:
    """Plain targets that end under a request."""

    @pytest.mark.parametrize('leaves', [False, True])
    async def test_end(self, monkeypatch, leaves):
        """A target ends, unless the caller has left before."""
        monkeypatch.setattr(soak_target, 'CRASH_SECONDS', 0.2)
        target, records = make_target(version=0)
        ended = []
        target.note_crash = lambda: ended.append(target.name)
        async with TestClient(TestServer(target.build_app())) as client:
            asked = asyncio.create_task(
                client.post(CRASH_PATH, headers=HEADERS)
            )
            await wait_until(lambda: records.crash_runs)
            if leaves:
                asked.cancel()
            await asyncio.gather(asked, return_exceptions=True)
            await asyncio.sleep(0.3)
        assert target.closed is not leaves
        assert bool(records.crashes) is not leaves
        assert bool(ended) is not leaves


class TestEngine:
    """Engines that do late what their loader gave up, and whose stage rots."""

    @pytest.fixture
    async def engine(self):
        """Start an engine with all chunks of version 2 staged."""
        target, records = make_target(version=1)
        for index in range(CHUNKS):
            target.stage.write(index, make_piece(MODEL, 2, index))
        async with TestClient(TestServer(target.build_app())) as client:
            yield target, records, client

    async def test_order_after_it_was_given_up(self, engine, monkeypatch):
        """An order whose loader left is accepted with what is staged then."""
        target, records, client = engine
        monkeypatch.setitem(soak_trouble.LATE_SHARES, EngineCall.ORDER, 1)
        monkeypatch.setattr(soak_trouble, 'GIVEN_UP_SECONDS', 0.3)
        monkeypatch.setattr(soak_trouble, 'LATE_SECONDS', (0.1, 0.2))
        target.trouble.is_on = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await client.post('/order', json={'version': 2})
        target.stage.write(0, make_piece(MODEL, 3, 0))
        await wait_until(lambda: target.version == 2)
        assert target.orders == 1
        assert 'version 2, chunks [0]' in records.spoilt_loads[0]

    async def test_write_after_it_was_given_up(self, engine, monkeypatch):
        """A chunk whose loader left is staged over a later one."""
        target, _, client = engine
        monkeypatch.setitem(soak_trouble.LATE_SHARES, EngineCall.WRITE, 1)
        monkeypatch.setattr(soak_trouble, 'GIVEN_UP_SECONDS', 0.3)
        monkeypatch.setattr(soak_trouble, 'LATE_SECONDS', (0.1, 0.2))
        target.trouble.is_on = True
        url = f'/stage-put/{MODEL}?num=0'
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await client.put(url, data=make_piece(MODEL, 1, 0))
        assert not target.stage.find_spoilt(2)
        await wait_until(lambda: target.stage.find_spoilt(2) == [0])

    async def test_condition(self, engine):
        """An order that states another number of orders is refused."""
        target, records, client = engine
        statuses = []
        for version, expected in ((2, 1), (2, 0), (3, 0), (2, 1)):
            order = {'version': version, 'expected_rev': expected}
            async with client.post('/order', json=order) as answer:
                statuses.append(answer.status)
        assert statuses == [409, 202, 409, 200]
        assert (target.orders, target.version, records.loads) == (1, 2, 1)
        assert not records.spoilt_loads

    async def test_another_model(self, engine):
        """An order to load another model is found, and does nothing."""
        target, records, client = engine
        order = {'model': OTHER_MODEL, 'version': 2}
        async with client.post('/order', json=order) as answer:
            assert answer.status == 409
        assert target.version == 1
        assert OTHER_MODEL in records.spoilt_loads[0]
        url = f'/stage-put/{OTHER_MODEL}?num=0'
        await client.put(url, data=make_piece(OTHER_MODEL, 2, 0))
        assert not target.stage.find_spoilt(2)

    async def test_loader_that_is_stopped(self, engine, monkeypatch):
        """A loader may be stopped when it reads a staged chunk."""
        target, _, client = engine
        monkeypatch.setattr(soak_trouble, 'STOP_SHARE', 1)
        stops = []
        target.trouble.stop_loader = stops.append
        for is_on in (False, True):
            target.trouble.is_on = is_on
            async with client.get(f'/stage-get/{MODEL}?num=0') as answer:
                assert await answer.read() == make_piece(MODEL, 2, 0)
        [seconds] = stops
        assert 0.5 <= seconds <= 4

    @pytest.mark.parametrize(
        ('version', 'seconds', 'spoilt'),
        [(2, 0, []), (2, 2.9, []), (2, 3.1, [1]), (3, 0, [*range(CHUNKS)])],
    )
    async def test_rot(self, engine, monkeypatch, version, seconds, spoilt):
        """A chunk that turned bad in the last 3 s excuses its version."""
        target, _, _ = engine
        rotten_at = time.monotonic()
        target.stage.rot(1)
        target.stage.rot(1)
        monkeypatch.setattr(time, 'monotonic', lambda: rotten_at + seconds)
        assert target.stage.find_spoilt(version) == spoilt


class TestBodies:
    """Bodies of requests."""

    async def test_whole(self):
        """The pieces of each body make up the body, and sizes differ."""
        sizes = set()
        for number in range(40):
            attempt = uuid.UUID(int=number).hex
            body = make_body(attempt)
            pieces = [piece async for piece in send_body(attempt)]
            assert b''.join(pieces) == body
            sizes.add(len(body))
        assert sizes == set(SIZES)


class TestLosses:
    """Whole requests whose connections end without an answer."""

    @pytest.mark.parametrize(
        'work',
        [
            {'kind': PlannedKind.STOP, 'at': 99.0},
            {'kind': PlannedKind.STOP, 'at': 91.6},
            {'kind': PlannedKind.HANG_UP, 'at': 98.1},
            {'kind': PlannedKind.CHANGE, 'whom': '', 'at': 97.6},
        ],
    )
    def test_beside_planned_work(self, work):
        """A request that is cut beside planned work is found."""
        assert 'LOST' in find_loss(work=work)

    @pytest.mark.parametrize(
        'work',
        [
            {'kind': PlannedKind.STOP, 'whom': 'entry-2', 'at': 99.0},
            {'kind': PlannedKind.STOP, 'at': 91.4},
            {'kind': PlannedKind.STOP, 'at': 100.6},
            {'kind': PlannedKind.HANG_UP, 'at': 97.9},
            {'kind': PlannedKind.CHANGE, 'whom': '', 'at': 97.4},
        ],
    )
    def test_apart(self, work):
        """One request that is cut apart from planned work is no finding."""
        assert not find_loss(work=work)

    def test_not_passed_on(self):
        """A request that no target got is found after an allowance only."""
        assert 'LOST' in find_loss(runs=[], ended_at=100.3)
        assert not find_loss(runs=[], ended_at=100.1)

    @pytest.mark.parametrize(
        'changes',
        [
            {'whole_at': 0.0},
            {'ending': Ending.LEFT},
            {'ending': Ending.UNREACHED},
            {'ending': Ending.OPEN},
            # Its time is over.
            {'limit': 0.5},
        ],
    )
    def test_excused_request(self, changes):
        """A request that was not whole, or left, or out of time is excused."""
        assert not find_loss(**changes)

    def test_target_broke_off(self):
        """A request is excused if the target that had it last broke it off."""
        left = make_run(ended_at=100.2, ending=Ending.LEFT)
        cut = make_run(ended_at=100.4, ending=Ending.CUT)
        assert not find_loss(runs=[left, cut])
        at_work = make_run(ended_at=100.5, ending=Ending.LEFT)
        assert 'LOST' in find_loss(runs=[cut, at_work])

    @pytest.mark.parametrize(
        ('fault', 'excused'),
        [
            ({'name': 'pause', 'whom': 'entry-1'}, True),
            ({'name': 'silent', 'whom': 'p-1'}, True),
            ({'name': 'store down', 'whom': ''}, True),
            ({'name': 'pause', 'whom': 'entry-1', 'ended_at': 96.9}, False),
            ({'name': 'pause', 'whom': 'entry-2'}, False),
            ({'name': 'half silent', 'whom': 'plain'}, False),
            ({'name': 'stop', 'whom': 'entry-1'}, False),
        ],
    )
    def test_unplanned_trouble(self, fault, excused):
        """Recent unplanned trouble excuses a loss, and nothing else does."""
        found = find_loss(faults=[make_fault(**fault)])
        assert ('LOST' not in found) == excused

    @pytest.mark.parametrize(
        ('stop_at', 'excused'), [(93.7, True), (94.0, False), (93.1, False)]
    )
    def test_end_of_grace(self, stop_at, excused):
        """A target at work in the last sixth of the grace time excuses a loss.

        It does so for a request that was sent soon after SIGTERM.
        """
        work = {'kind': PlannedKind.STOP, 'at': stop_at}
        found = find_loss(
            work=work, sent_at=96.5, whole_at=96.5, limit=9.0, ended_at=100.5
        )
        assert ('LOST' not in found) == excused

    @pytest.mark.parametrize(
        ('cuts', 'found'), [(0, True), (1, True), (2, False)]
    )
    def test_rate_beside_changes(self, cuts, found):
        """A loss beside a change is found if its daemon loses more than else.

        One of two requests is cut beside the change.
        """
        change = {'kind': PlannedKind.CHANGE, 'whom': '', 'at': 99.0}
        served = make_request(attempt='served', kind=Kind.LOOKUP)
        apart = [
            make_lost(attempt=f'apart {number}', sent_at=50.0, ended_at=50.5)
            if number < cuts
            else make_request(attempt=f'apart {number}', ended_at=50.1)
            for number in range(7)
        ]
        findings = find_loss(work=change, others=[served, *apart])
        assert ('LOST' in findings) == found

    def test_used_time(self):
        """A loss beside a change is excused in the last part of its time."""
        change = {'kind': PlannedKind.CHANGE, 'whom': '', 'at': 99.0}
        assert 'LOST' in find_loss(work=change, limit=0.73)
        assert not find_loss(work=change, limit=0.7)

    @pytest.mark.parametrize(('number', 'found'), [(2, False), (3, True)])
    def test_at_any_time(self, number, found):
        """More than three losses of a daemon are found without any work."""
        others = [make_lost(attempt=f'more {each}') for each in range(number)]
        assert ('LOST' in find_loss(work=None, others=others)) == found


class TestSilentLosses:
    """Answers that are ended while their target is merely silent."""

    @pytest.mark.parametrize(
        'changes',
        [
            {},
            {'ending': Ending.COMPLETE, 'status': 502},
            {'ending': Ending.COMPLETE, 'status': 503},
        ],
    )
    def test_found(self, changes):
        """A cut or a failure is found, with no planned work beside it."""
        assert 'merely silent' in find_loss(
            work=None, runs=[make_silent_run()], **changes
        )

    def test_target_moved_from(self):
        """The silence of the first target does not excuse giving up."""
        later = make_run(at=100.45, ended_at=100.48, ending=Ending.LEFT)
        runs = [make_silent_run(), later]
        assert 'merely silent' in find_loss(work=None, runs=runs)

    @pytest.mark.parametrize(
        ('run', 'changes'),
        [
            ({}, {'limit': 0.5}),
            ({}, {'ending': Ending.LEFT}),
            ({}, {'ending': Ending.COMPLETE, 'stamp': 'a1-stamp'}),
            ({'ending': Ending.CUT}, {}),
            ({'ending': Ending.COMPLETE}, {}),
            ({'silences': [(100.1, 100.3)]}, {}),
            ({}, {'faults': [('pause', 'entry-1')]}),
            ({}, {'faults': [('reset', 'p-1')]}),
        ],
    )
    def test_excused(self, run, changes):
        """The caller, the time limit, a fault or the target may end it."""
        faults = [
            make_fault(name=name, whom=whom)
            for name, whom in changes.pop('faults', ())
        ]
        assert not find_loss(
            work=None, runs=[make_silent_run(**run)], faults=faults, **changes
        )

    @pytest.mark.parametrize(
        ('version', 'named_at', 'body', 'excused'),
        [
            (1, 92.5, '', True),
            (1, 92.8, '', True),
            (1, 93.0, '', False),
            (1, 92.5, '0 1', False),
            (2, 92.5, '', False),
            (0, 92.5, '', False),
        ],
    )
    def test_version_expires(self, version, named_at, body, excused):
        """No request may begin on an older version from its bound on.

        The request is ended 0.2 s before, unless its answer has begun.
        """
        found = find_loss(
            work=None,
            runs=[make_silent_run(version=version)],
            named={2: named_at},
            kind=Kind.LETTER,
            body=body,
        )
        assert ('merely silent' not in found) == excused


class TestChecks:
    """Each check reports the violation that it is for."""

    def test_nothing_wrong(self):
        """A request without a violation causes no finding."""
        found = find(make_request(), make_run(), calm_from=50)
        assert not found

    @pytest.mark.parametrize(
        ('changes', 'runs', 'finding'),
        [
            ({}, 2, 'TWICE'),
            ({'status': 503}, 1, 'REFUSED'),
            ({'status': 431}, 0, 'DENIED'),
            ({'body': 'other'}, 1, 'MIXED'),
            ({'stamp': ''}, 1, 'MIXED'),
            ({'ended_at': 104.0}, 1, 'held'),
            ({'path': '/charges/2'}, 1, 'UNASKED'),
            ({'key': 'others-1'}, 1, 'UNASKED'),
        ],
    )
    def test_requests(self, changes, runs, finding):
        """A wrong answer or run of one request is found."""
        assert finding in find(make_request(**changes), *[make_run()] * runs)

    def test_changed_body(self):
        """A run with another body than the one that was sent is found."""
        assert 'UNASKED' in find(make_request(), make_run(body_intact=False))

    def test_broken_stream(self):
        """A complete stream that repeats an event is found."""
        letter = make_request(kind=Kind.LETTER, body='0 1 2 2 3 4 5 6 7')
        assert 'ORDER' in find(letter, make_run())

    @pytest.mark.parametrize('body', ['1 2', '0 2', '0 1 1', '0 1 2 1'])
    def test_broken_part_of_a_stream(self, body):
        """A cut stream whose ids do not increase one by one is found."""
        letter = make_lost(kind=Kind.LETTER, body=body)
        assert 'ORDER' in find(letter, make_run())

    def test_part_of_a_stream(self):
        """A cut stream whose ids increase is in order."""
        letter = make_lost(kind=Kind.LETTER, body='0 1 2')
        assert 'ORDER' not in find(letter, make_run())

    def test_revoked_key(self):
        """A run is found whose key was revoked longer ago than the bound."""
        found = find(make_request(), make_run(), revoked={'parents-1': 94.0})
        assert 'CONFIG' in found

    @pytest.mark.parametrize(
        ('records', 'finding'),
        [
            ({'withdrawn': [('near-b', 90.0, 110.0)]}, 'EVAC'),
            ({'departures': [('p-1', 97.0, 110.0)]}, 'DRAIN'),
            ({'named': {2: 91.0}}, 'VERSION'),
        ],
    )
    def test_bounds(self, records, finding):
        """A missed bound is found, unless a fault affected the daemon."""
        run = make_run(version=1)
        assert finding in find(make_request(), run, **records)
        fault = InjectedFault(
            name='pause', whom='entry-1', began_at=98, ended_at=99
        )
        excused = find(make_request(), run, faults=[fault], **records)
        assert finding not in excused

    def test_crashing_request(self):
        """A request that is passed on after its third crash is found."""
        requests = {
            str(number): make_request(attempt=str(number))
            for number in range(4)
        }
        records = {
            'crashes': [80.0, 90.0, 92.0, 96.0],
            'crash_requests': requests,
            'crash_runs': [(number, 95.1) for number in requests],
        }
        assert 'BUDGET' in find(make_request(), make_run(), **records)
        fault = InjectedFault(
            name='pause', whom='entry-1', began_at=91, ended_at=93
        )
        excused = find(make_request(), make_run(), faults=[fault], **records)
        assert 'BUDGET' not in excused
        records['crash_runs'].pop()
        assert 'BUDGET' not in find(make_request(), make_run(), **records)

    def test_no_recovery(self):
        """A fleet that does not serve again after the faults is found."""
        assert 'RECOVER' in find(make_request(status=502), calm_from=50)

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

import pytest

from fakes.soak import Soak, run_soak
from fakes.soak_checks import list_findings
from fakes.soak_plan import RESTORE, Fault, plan_faults
from fakes.soak_records import (
    InjectedFault,
    Kind,
    Records,
    SentRequest,
    TargetRun,
)
from fakes.soak_site import FORWARDERS, SoakSite
from fakes.soak_target import make_answer
from fakes.soak_watch import (
    NOTED_SECONDS,
    SOAK,
    find_processes,
    read_counts,
    read_watch,
    record_stalls,
)

SECONDS = 6.0
# Seed and seconds of faults, each with the cause of its finding.
FAULT_SEEDS = [
    # SIGHUP right after a restart ended a loader that had not set its handler.
    (1, 15.0),
]
CHARGE = '/charges/1'


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
        'version': 0,
        'at': 100.05,
    }
    return TargetRun(**{**usual, **changes})


def find(request: SentRequest, *runs: TargetRun, **records: object) -> str:
    """List the findings about one request, joined by spaces."""
    kept = Records(requests=[request], runs=list(runs), **records)
    return ' '.join(list_findings(kept))


class TestSoak:
    """Soaks of real processes under faults."""

    @pytest.mark.processes
    @pytest.mark.parametrize(('seed', 'seconds'), [(7, SECONDS), *FAULT_SEEDS])
    async def test_promises_hold(self, tmp_path, seed, seconds):
        """Faults violate no guarantee, and all processes are watched."""
        findings, records = await run_soak(
            seed=seed, seconds=seconds, folder=tmp_path
        )
        assert records.faults
        assert not findings
        watched = {
            name for line in read_watch(tmp_path) for name in line['processes']
        }
        assert watched == {SOAK, *FORWARDERS, 'loader-i-1', 'loader-i-2'}


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


class TestOperators:
    """Changes by operators in a soak."""

    @pytest.mark.looptime
    async def test_overlapping_withdrawals(self, tmp_path):
        """A failure domain stays withdrawn until its last withdrawal ends."""
        site = SoakSite(folder=tmp_path)
        soak = Soak(site=site, seed=1, seconds=1)
        fault = Fault(at=0, name='withdraw', whom='', seconds=1)
        first = asyncio.create_task(soak._inject(fault))
        await asyncio.sleep(1)
        second = asyncio.create_task(soak._inject(fault))
        await first
        assert site.store.read('op', 'evacuate/near-b') is not None
        await second
        assert site.store.read('op', 'evacuate/near-b') is None


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
        assert overlaps > 40


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

    def test_broken_stream(self):
        """A complete stream that repeats an event is found."""
        letter = make_request(kind=Kind.LETTER, body='0 1 2 2 3 4 5 6 7')
        assert 'ORDER' in find(letter, make_run())

    def test_revoked_key(self):
        """A run is found whose key was revoked longer ago than the bound."""
        found = find(make_request(), make_run(), revoked={'parents-1': 94.0})
        assert 'CONFIG' in found

    @pytest.mark.parametrize(
        ('records', 'finding'),
        [
            ({'withdrawn': [('near-b', 90.0, 110.0)]}, 'EVAC'),
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

    def test_no_recovery(self):
        """A fleet that does not serve again after the faults is found."""
        assert 'RECOVER' in find(make_request(status=502), calm_from=50)

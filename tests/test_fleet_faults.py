"""Tests of real processes killed, paused and stopped under load."""

import asyncio

import pytest

from fakes.callers import Ending
from fakes.fleet_stage import FleetStage
from ragwortcourse.entry.claim_batch_router import rank_batcher
from ragwortcourse.entry.earlier_claims import CLOCK_SKEW_SECONDS
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.messages.peer_port import BAR_TIMEOUT_SECONDS

LOAD_PER_SECOND = 10
SETTLE_SECONDS = 0.5
# Exceeds the age at which a claim is rechecked and the bar time-out.
FREEZE_SECONDS = 6.0
CALLER_TIMEOUT_SECONDS = 45.0
KEYS = 12
# An agent that has run for longer than this can prove that an unknown
# attempt never ran; a younger agent may have lost its records in a restart.
PROOF_SECONDS = CLOCK_SKEW_SECONDS + BAR_TIMEOUT_SECONDS + 1
SEND_SECONDS = 0.05


@pytest.fixture
async def stage(tmp_path):
    """Start a fleet for one test."""
    async with FleetStage(folder=tmp_path) as made:
        yield made


@pytest.fixture
async def patient_stage(tmp_path):
    """Start a fleet whose callers wait long enough for a slow machine."""
    async with FleetStage(
        folder=tmp_path, patience=CALLER_TIMEOUT_SECONDS
    ) as made:
        yield made


async def kill_and_restart(stage, name):
    """Kill a process and restart it after ``SETTLE_SECONDS``."""
    await stage.fleet.kill(name)
    await asyncio.sleep(SETTLE_SECONDS)
    await stage.fleet.restart(name)
    await asyncio.sleep(SETTLE_SECONDS)


async def pause_and_resume(stage, name):
    """Pause a process for ``FREEZE_SECONDS``."""
    stage.fleet.suspend(name)
    await asyncio.sleep(FREEZE_SECONDS)
    stage.fleet.resume(name)


@pytest.mark.processes
class TestKillsAndFreezes:
    """A small fleet under load while some of its processes fail."""

    async def test_every_promise_holds(self, stage):
        """Outcomes reported to callers are true while any process fails."""
        stage.begin_load(LOAD_PER_SECOND)
        await asyncio.sleep(SETTLE_SECONDS)
        frozen = [
            asyncio.ensure_future(pause_and_resume(stage, name))
            for name in ('engine-beta-0', 'service-beta-0', 'entry-beta-0')
        ]
        await kill_and_restart(stage, 'service-alpha-0')
        await kill_and_restart(stage, 'entry-alpha-0')
        await kill_and_restart(stage, 'platform')
        await kill_and_restart(stage, 'target-engine-alpha-0')
        await asyncio.gather(*frozen)
        await kill_and_restart(stage, 'entry-alpha-1')
        await stage.deploy('v2')
        await kill_and_restart(stage, 'engine-gamma-0')
        await stage.wait_until_serving('v2')
        assert await stage.end() == []
        last = [await stage.callers.begin(is_charge=one) for one in (0, 1)]
        assert [result.ending for result in last] == [Ending.COMPLETE] * 2
        assert last[0].version == 'v2'


@pytest.mark.processes
class TestPlannedStops:
    """Processes that get SIGTERM under load."""

    async def test_nothing_is_cut_off(self, patient_stage):
        """Each process exits with status 0; calls succeed or do not run."""
        patient_stage.begin_load(LOAD_PER_SECOND)
        await asyncio.sleep(SETTLE_SECONDS)
        statuses = await asyncio.gather(
            *(
                patient_stage.fleet.replace(name)
                for name in (
                    'entry-alpha-0',
                    'engine-alpha-0',
                    'service-beta-0',
                )
            )
        )
        for name in ('service-alpha-0', 'entry-beta-0', 'engine-gamma-0'):
            statuses.append(await patient_stage.fleet.replace(name))
        assert statuses == [0] * len(statuses)
        assert await patient_stage.end() == []
        results = patient_stage.callers.results
        assert [
            one for one in results if one.ending is Ending.DISCONNECTED
        ] == []
        assert [
            one for one in results if one.ending is Ending.ERROR_EVENT
        ] == []
        errors = [one for one in results if one.ending is Ending.ERROR]
        assert [
            one for one in errors if one.outcome is not OutcomeKind.NOT_RUN
        ] == []


def rank_entries(stage, failure_domain):
    """List a failure domain's entry daemons, the batching daemon first."""
    domain = FailureDomainName(failure_domain)
    return sorted(
        (
            entry.name
            for entry in stage.fleet.plan.entries
            if entry.failure_domain == failure_domain
        ),
        key=lambda name: rank_batcher(domain, DaemonId(name)),
        reverse=True,
    )


async def send_at_once(stage, key):
    """Send one charge to both entry daemons of alpha concurrently."""
    sendings = await asyncio.gather(
        *(
            stage.callers.send(entry, key)
            for entry in rank_entries(stage, 'alpha')
        )
    )
    stage.callers.calls.append(list(sendings))


async def send_again(stage, entry):
    """Resend every charge to one entry daemon until it is answered."""
    await asyncio.gather(
        *(
            stage.callers.send_until_final(sendings, sendings[0].key, entry)
            for sendings in stage.callers.calls
        )
    )


@pytest.mark.processes
class TestClaimsBetweenDaemons:
    """Two entry daemons, one of which batches the claims of both."""

    async def test_same_key_runs_once(self, stage):
        """A key sent to both daemons concurrently runs once."""
        await asyncio.sleep(PROOF_SECONDS)
        keys = [f'twice-{number}' for number in range(KEYS)]
        await asyncio.gather(*(send_at_once(stage, key) for key in keys))
        await send_again(stage, 'entry-beta-0')
        assert await stage.count_runs() == dict.fromkeys(keys, 1)
        assert await stage.end() == []

    async def test_collecting_daemon_is_killed(self, stage):
        """Killing the batching daemon loses no charge and runs none twice."""
        await asyncio.sleep(PROOF_SECONDS)
        batcher, other = rank_entries(stage, 'alpha')
        keys = [f'killed-{number}' for number in range(KEYS)]
        sending = asyncio.gather(*(send_at_once(stage, key) for key in keys))
        await asyncio.sleep(SEND_SECONDS)
        await stage.fleet.kill(batcher)
        await sending
        await send_again(stage, other)
        assert await stage.count_runs() == dict.fromkeys(keys, 1)
        assert await stage.end() == []

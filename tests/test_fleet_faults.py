"""Real processes that are killed, frozen and stopped under load."""

import asyncio

import pytest

from fakes.callers import Ending
from fakes.fleet_stage import FleetStage
from ragwortcourse.entry.claim_batch_router import rank_helper
from ragwortcourse.entry.earlier_claims import CLOCK_SKEW_SECONDS
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.messages.peer_port import BAR_TIMEOUT_SECONDS

LOAD_PER_SECOND = 10
MOMENT_SECONDS = 0.5
# Longer than claims are fresh, and than an agent is asked about an attempt.
FREEZE_SECONDS = 6.0
PATIENT_SECONDS = 45.0
KEYS = 12
# An agent can prove that work never ran once it is older than this.
PROOF_SECONDS = CLOCK_SKEW_SECONDS + BAR_TIMEOUT_SECONDS + 1
SENT_SECONDS = 0.05


@pytest.fixture
async def stage(tmp_path):
    """A fleet of its own for each test."""
    async with FleetStage(folder=tmp_path) as made:
        yield made


@pytest.fixture
async def patient_stage(tmp_path):
    """A fleet whose callers wait as long as a slow machine may need."""
    async with FleetStage(folder=tmp_path, patience=PATIENT_SECONDS) as made:
        yield made


async def kill_and_restart(stage, name):
    """Kill a process, and start it a moment later."""
    await stage.fleet.kill(name)
    await asyncio.sleep(MOMENT_SECONDS)
    await stage.fleet.restart(name)
    await asyncio.sleep(MOMENT_SECONDS)


async def freeze_and_thaw(stage, name):
    """Let a process stand still for long."""
    stage.fleet.freeze(name)
    await asyncio.sleep(FREEZE_SECONDS)
    stage.fleet.thaw(name)


@pytest.mark.processes
class TestKillsAndFreezes:
    """A small fleet of processes under load while some of them fail."""

    async def test_every_promise_holds(self, stage):
        """Whatever process fails, what callers are told is true."""
        stage.begin_load(LOAD_PER_SECOND)
        await asyncio.sleep(MOMENT_SECONDS)
        frozen = [
            asyncio.ensure_future(freeze_and_thaw(stage, name))
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
        assert [told.ending for told in last] == [Ending.WHOLE] * 2
        assert last[0].version == 'v2'


@pytest.mark.processes
class TestPlannedStops:
    """Processes that get SIGTERM under load."""

    async def test_nothing_is_cut_off(self, patient_stage):
        """Each ends with status 0, and no call notices but by a refusal."""
        patient_stage.begin_load(LOAD_PER_SECOND)
        await asyncio.sleep(MOMENT_SECONDS)
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
        told = patient_stage.callers.told
        assert [one for one in told if one.ending is Ending.CUT] == []
        assert [one for one in told if one.ending is Ending.BROKEN] == []
        errors = [one for one in told if one.ending is Ending.ERROR]
        assert [
            one for one in errors if one.outcome is not OutcomeKind.NOT_RUN
        ] == []


def rank_entries(stage, failure_domain):
    """Entry daemons of a failure domain, the one that collects first."""
    domain = FailureDomainName(failure_domain)
    return sorted(
        (
            entry.name
            for entry in stage.fleet.plan.entries
            if entry.failure_domain == failure_domain
        ),
        key=lambda name: rank_helper(domain, DaemonId(name)),
        reverse=True,
    )


async def send_at_once(stage, key):
    """Send one charge to both entry daemons of alpha at the same time."""
    sendings = await asyncio.gather(
        *(
            stage.callers.send(entry, key)
            for entry in rank_entries(stage, 'alpha')
        )
    )
    stage.callers.calls.append(list(sendings))


async def send_again(stage, entry):
    """Send every charge to one entry daemon until it has its answer."""
    await asyncio.gather(
        *(
            stage.callers.send_until_told(sendings, sendings[0].key, entry)
            for sendings in stage.callers.calls
        )
    )


@pytest.mark.processes
class TestClaimsBetweenDaemons:
    """Two entry daemons, one of which writes the claims of both."""

    async def test_same_key_runs_once(self, stage):
        """A key sent to both at once runs once."""
        await asyncio.sleep(PROOF_SECONDS)
        keys = [f'twice-{number}' for number in range(KEYS)]
        await asyncio.gather(*(send_at_once(stage, key) for key in keys))
        await send_again(stage, 'entry-beta-0')
        assert await stage.count_runs() == dict.fromkeys(keys, 1)
        assert await stage.end() == []

    async def test_collecting_daemon_is_killed(self, stage):
        """Its death loses no charge and runs none twice."""
        await asyncio.sleep(PROOF_SECONDS)
        helper, other = rank_entries(stage, 'alpha')
        keys = [f'killed-{number}' for number in range(KEYS)]
        sending = asyncio.gather(*(send_at_once(stage, key) for key in keys))
        await asyncio.sleep(SENT_SECONDS)
        await stage.fleet.kill(helper)
        await sending
        await send_again(stage, other)
        assert await stage.count_runs() == dict.fromkeys(keys, 1)
        assert await stage.end() == []

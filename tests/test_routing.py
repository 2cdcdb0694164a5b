"""Tests of :mod:`ragwortcourse.entry.routing`."""

import asyncio
import collections

import msgspec
import pytest

from fakes.entries import make_entry, make_model_call, make_record
from fakes.scripted_agents import ScriptedAgents, ScriptedResult
from ragwortcourse.clock import read_clock
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import ChangeId, Generation, TargetName
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope
from tests.test_calls import collect

pytestmark = pytest.mark.looptime


def make_target(target: str, **fields) -> TargetRecord:
    """Build a target that serves the model."""
    return make_record(target, deployment='caption-llm', **fields)


async def send(
    entry: EntryState, agents: ScriptedAgents, calls: int = 1
) -> str:
    """Send calls; return the names of the used targets, most used first."""
    before = len(agents.sent)
    for number in range(calls):
        await collect(entry, make_model_call(f'r{number}'))
    counts = collections.Counter(address for address, _ in agents.sent[before:])
    return ' '.join(address for address, _ in counts.most_common())


def withdraw_domain(entry: EntryState) -> None:
    """Withdraw attica-a, as operators can while the table service is down."""
    entry.holder.withdraw(
        Withdrawal(
            change=ChangeId('w'),
            scope=WithdrawalScope.FAILURE_DOMAIN,
            name='attica-a',
            generation=Generation(1),
        )
    )


def set_leaving(entry: EntryState) -> None:
    """Set the near target to leaving in its status."""
    record = entry.directory.find(TargetName('near'))
    assert record is not None
    assert record.status is not None
    record.status = msgspec.structs.replace(record.status, leaving=True)


def exhaust_permits(entry: EntryState) -> None:
    """Set the spare permits of the near target to zero."""
    record = entry.directory.find(TargetName('near'))
    assert record is not None
    record.spare = 0


def clear_status(entry: EntryState) -> None:
    """Remove the status of the near target."""
    record = entry.directory.find(TargetName('near'))
    assert record is not None
    record.status = None


class TestNearness:
    """Choice of a target by distance and prefix."""

    @pytest.mark.parametrize(
        ('change', 'chosen'),
        [
            (lambda entry: None, 'near'),
            (withdraw_domain, 'region'),
            (set_leaving, 'region'),
            (exhaust_permits, 'region'),
            (clear_status, 'region'),
        ],
    )
    async def test_nearest_that_can(self, change, chosen):
        """The nearest usable target is chosen.

        Own failure domain first, then own region, then other regions.
        """
        agents = ScriptedAgents()
        entry = make_entry(
            agents.build_port(),
            make_target('far', failure_domain='macedonia-a'),
            make_target('region', failure_domain='crete-a'),
            make_target('near'),
        )
        change(entry)
        assert await send(entry, agents) == chosen

    async def test_withdrawn_everywhere_is_refused(self):
        """With all targets withdrawn, a call is refused and nothing is sent."""
        agents = ScriptedAgents()
        entry = make_entry(agents.build_port(), make_target('near'))
        withdraw_domain(entry)
        result = await collect(entry, make_model_call())
        assert result == 'not_run no_target'
        assert not agents.sent

    async def test_same_prompt_start_keeps_its_target(self):
        """Long prompts with the same start go to one target.

        Under concurrent load, the load bound moves the excess to others.
        """
        agents = ScriptedAgents()
        targets = [make_target(f't{number}') for number in range(6)]
        entry = make_entry(agents.build_port(), *targets)
        prompt = 'a house style ' * 100
        calls = [make_model_call(f'r{n}', prompt=prompt) for n in range(12)]
        for call in calls:
            await collect(entry, call)
        assert len({address for address, _ in agents.sent}) == 1
        agents.seconds = 1
        agents.sent.clear()
        await asyncio.gather(*(collect(entry, call) for call in calls))
        used = collections.Counter(address for address, _ in agents.sent)
        assert max(used.values()) <= 4


class TestVersions:
    """Choice of the model version."""

    @pytest.mark.parametrize(
        ('served', 'chosen'),
        [
            ([('v1',), ('v1',), ('v1',)], 'v1'),
            ([('v1',), ('v1', 'v2'), ('v1',)], 'v2'),
            ([('v0',), ('v1',), ('v1',)], 'v1'),
            ([(), (), ()], 'v2'),
        ],
    )
    async def test_newest_that_is_served(self, served, chosen):
        """The deployment's version is chosen if served, else the commonest."""
        agents = ScriptedAgents()
        targets = [
            make_target(f't{number}', versions=versions)
            for number, versions in enumerate(served)
        ]
        entry = make_entry(agents.build_port(), *targets)
        await send(entry, agents)
        wanted = {one.version for _, one in agents.sent}
        assert wanted <= {chosen}
        assert bool(agents.sent) == any(served)

    @pytest.mark.parametrize('leave', [withdraw_domain, set_leaving])
    async def test_version_that_only_a_target_out_of_work_serves(self, leave):
        """A version is not required if only unavailable targets serve it.

        Otherwise, the targets that can take the call would not match.
        """
        agents = ScriptedAgents()
        entry = make_entry(
            agents.build_port(),
            make_target('near', versions=('v2',)),
            make_target('region', failure_domain='crete-a', versions=('v1',)),
        )
        leave(entry)
        assert await send(entry, agents) == 'region'


class TestOutliers:
    """Ejection of failing targets."""

    async def test_bad_target_is_out_and_comes_back_by_a_trickle(self):
        """A failing target is ejected and returns with a slow start.

        After an ejection, the target gets one request at a time until it
        succeeds.
        """
        agents = ScriptedAgents()
        agents.script('near', *[ScriptedResult.LOST_DURING] * 4)
        entry = make_entry(
            agents.build_port(),
            make_target('near'),
            make_target('far', failure_domain='crete-a'),
        )
        await send(entry, agents, 3)
        assert await send(entry, agents, 10) == 'far'
        await asyncio.sleep(1)
        # The failed trial ejects the target again, for longer.
        assert await send(entry, agents, 10) == 'far near'
        await asyncio.sleep(2)
        agents.seconds = 0.1
        agents.sent.clear()
        calls = [make_model_call(f'r{number}') for number in range(8)]
        await asyncio.gather(*(collect(entry, call) for call in calls))
        used = [address for address, _ in agents.sent]
        assert used.count('near') == 1
        await send(entry, agents, 10)
        assert await send(entry, agents, 10) == 'near'

    async def test_all_out_still_tries(self):
        """If all targets are ejected, one of them is still tried."""
        agents = ScriptedAgents()
        agents.script('near', *[ScriptedResult.UNREACHED] * 4)
        entry = make_entry(agents.build_port(), make_target('near'))
        await send(entry, agents, 4)
        assert await collect(entry, make_model_call()) == 'whole'

    async def test_call_is_refused_while_all_targets_start_slowly(self):
        """Targets in their slow start get all calls if there are no others.

        Targets that were silent together for a second end their ejections
        together. Their agents decide how much each target takes.
        """
        agents = ScriptedAgents()
        names = ['near', 'second']
        for name in names:
            agents.script(name, *[ScriptedResult.LOST_DURING] * 3)
        entry = make_entry(agents.build_port(), *map(make_target, names))
        await send(entry, agents, 3)
        await asyncio.sleep(2)
        agents.seconds = 0.1
        calls = [make_model_call(f'r{number}') for number in range(8)]
        results = await asyncio.gather(
            *(collect(entry, call) for call in calls)
        )
        assert results == ['whole'] * 8

    async def test_ejected_target_is_preferred_to_a_slow_start(self):
        """A target in its slow start is preferred to an ejected one."""
        agents = ScriptedAgents()
        agents.script('near', *[ScriptedResult.LOST_DURING] * 3)
        entry = make_entry(
            agents.build_port(), make_target('near'), make_target('dead')
        )
        dead = entry.directory.find(TargetName('dead'))
        assert dead is not None
        dead.ejected_until = read_clock() + 60
        await send(entry, agents, 3)
        await asyncio.sleep(2)
        agents.seconds = 0.1
        agents.sent.clear()
        calls = [make_model_call(f'r{number}') for number in range(8)]
        await asyncio.gather(*(collect(entry, call) for call in calls))
        assert {address for address, _ in agents.sent} == {'near'}


class TestRetryBudget:
    """Retries while all targets are down."""

    async def test_no_storm(self):
        """With all targets unreachable, retries stay within the budget.

        Unbounded retries would multiply the load during an outage.
        """
        agents = ScriptedAgents()
        names = [f't{number}' for number in range(5)]
        for name in names:
            agents.script(name, *[ScriptedResult.UNREACHED] * 1000)
        entry = make_entry(agents.build_port(), *map(make_target, names))
        await send(entry, agents, 200)
        assert len(agents.sent) <= 200 * 1.1 + 10

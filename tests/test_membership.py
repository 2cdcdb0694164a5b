"""Tests of target discovery: subsets, heartbeats and a stale host list."""

import asyncio

import msgspec
import pytest

from fakes.faults import Fault
from fakes.memory_control import ControlEntry, ControlFleet
from ragwortcourse.identifiers import DaemonId, FailureDomainName
from ragwortcourse.membership.heartbeats import (
    HEARTBEATS_PER_SECOND,
    STATUS_PERIOD_SECONDS,
)
from ragwortcourse.membership.hosts import HostState
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.passive_observation import note_response
from ragwortcourse.membership.subset import Watcher, select_subset
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.attempt import AttemptRefused
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.messages.withdrawal import Withdrawal

# Requirement: a few seconds after a planned stop begins, no new work arrives.
LEAVING_SECONDS = 3
DEPLOYMENTS = ('llm', 'router', 'captions', 'desk', 'notes')


def make_fleet(
    domains: int, daemons: int, targets: int
) -> tuple[list[Watcher], list[ListedTarget]]:
    """Build watchers and targets, spread evenly over failure domains."""
    watchers = [
        Watcher(
            daemon=DaemonId(f'entry-{index}'),
            failure_domain=FailureDomainName(f'fd-{index % domains}'),
        )
        for index in range(daemons)
    ]
    agents = [
        ListedTarget(
            target=f'target-{index}',
            deployment=DEPLOYMENTS[index // domains % len(DEPLOYMENTS)],
            failure_domain=FailureDomainName(f'fd-{index % domains}'),
            region='lombardia',
            address=f'target-{index}:1',
            leaving=False,
        )
        for index in range(targets)
    ]
    return watchers, agents


class TestSubset:
    """Choice of the targets that a daemon watches."""

    @pytest.mark.parametrize(
        ('domains', 'daemons', 'targets'),
        [(3, 7, 12), (3, 9, 10), (8, 80, 520), (1, 2, 5)],
    )
    def test_cover(self, domains: int, daemons: int, targets: int):
        """Each target is assigned to two to four daemons."""
        watchers, agents = make_fleet(domains, daemons, targets)
        counts = dict.fromkeys([agent.target for agent in agents], 0)
        for watcher in watchers:
            subset = select_subset(
                watcher, tuple(watchers), tuple(agents), frozenset()
            )
            for target in subset.assigned_targets:
                counts[target] += 1
        assert min(counts.values()) >= 2
        assert max(counts.values()) <= 4

    def test_candidates(self):
        """Candidates of each deployment lie in at least two failure domains.

        Also with all targets of the own failure domain in withdrawal.
        """
        watchers, agents = make_fleet(8, 350, 2300)
        own = watchers[0]
        near_targets = frozenset(
            agent.target
            for agent in agents
            if agent.failure_domain == own.failure_domain
        )
        by_name = {agent.target: agent for agent in agents}
        for withdrawn in (frozenset(), near_targets):
            subset = select_subset(
                own, tuple(watchers), tuple(agents), withdrawn
            )
            chosen = [
                by_name[target] for target in subset.candidates - withdrawn
            ]
            for deployment in DEPLOYMENTS:
                domains = {
                    agent.failure_domain
                    for agent in chosen
                    if agent.deployment == deployment
                }
                assert len(domains) >= 2
            assert len(subset.targets) <= 150


async def start(agents: int = 3) -> tuple[ControlFleet, ControlEntry]:
    """Start one entry daemon that watches a few targets."""
    fleet = ControlFleet()
    for index in range(agents):
        fleet.add_agent(f'w-{index}', 'milano-a')
    fleet.list_entry('e-0', 'milano-a')
    entry = fleet.start_entry('e-0', 'milano-a')
    await asyncio.sleep(5)
    return fleet, entry


def find(entry: ControlEntry, target: str = 'w-0') -> TargetRecord:
    """Return the daemon's record of a target."""
    return entry.membership.directory.find(target)


@pytest.mark.looptime(start=1000)
class TestWatching:
    """Records that a daemon keeps of its targets."""

    async def test_order_of_the_records(self):
        """The order of the records does not depend on the hash seed."""
        _, entry = await start(agents=12)
        names = [one.target for one in entry.membership.directory.records]
        assert len(names) == 12
        assert names == sorted(names)

    async def test_leaving_by_list(self):
        """A planned stop in the list is known within 3 s and stays known."""
        fleet, entry = await start()
        fleet.network.records[0] = msgspec.structs.replace(
            fleet.network.records[0], state=HostState.LEAVING
        )
        await asyncio.sleep(LEAVING_SECONDS)
        assert find(entry).leaving
        await asyncio.sleep(30)
        assert find(entry).leaving

    async def test_leaving_by_own_word(self):
        """A target's status starts and ends its planned stop within 3 s."""
        fleet, entry = await start()
        fleet.agents['w-0'].leaving = True
        await asyncio.sleep(LEAVING_SECONDS)
        assert find(entry).leaving
        fleet.agents['w-0'].leaving = False
        await asyncio.sleep(LEAVING_SECONDS)
        assert not find(entry).leaving

    async def test_leaving_by_refusal(self):
        """A refusal for a planned stop marks the target as leaving at once."""
        fleet, entry = await start()
        fleet.agents['w-0'].leaving = True
        refusal = AttemptRefused(
            status=503,
            outcome=NotRun(code='leaving', detail=''),
            spare=1,
            generation=0,
        )
        note_response(entry.membership, 'w-0:1', refusal)
        assert find(entry).leaving
        fleet.agents['w-0'].leaving = False
        await asyncio.sleep(LEAVING_SECONDS)
        assert not find(entry).leaving

    @pytest.mark.parametrize('fault', ['empty', 'down', 'shorter'])
    async def test_list_is_a_hint(self, fault: str):
        """Answering targets stay known with an empty, lost or short list."""
        fleet, entry = await start()
        if fault == 'down':
            fleet.network.set_platform(Fault.DOWN)
        elif fault == 'empty':
            fleet.network.records.clear()
        else:
            del fleet.network.records[0]
        await asyncio.sleep(60)
        assert find(entry).status is not None

    async def test_gone(self):
        """A silent target loses its status, and its record once unlisted."""
        fleet, entry = await start()
        fleet.network.daemons.pop('w-0:1')
        await asyncio.sleep(15)
        assert find(entry).status is None
        del fleet.network.records[0]
        await asyncio.sleep(5)
        assert find(entry) is None

    async def test_new_address(self):
        """A target that restarts on another host is watched there."""
        fleet, entry = await start()
        fleet.network.daemons['x:1'] = fleet.network.daemons.pop('w-0:1')
        stopped = msgspec.structs.replace(
            fleet.network.records[0], state=HostState.LEAVING
        )
        fleet.network.records[0] = stopped
        fleet.network.records.append(
            msgspec.structs.replace(
                stopped, address='x:1', daemon='w-0b', state=HostState.LIVE
            )
        )
        await asyncio.sleep(LEAVING_SECONDS)
        record = find(entry)
        assert (record.address, record.leaving) == ('x:1', False)
        assert record.status is not None

    async def test_live_signs_spare_heartbeats(self):
        """Answers to requests replace heartbeats."""
        fleet, entry = await start(agents=1)
        refusal = AttemptRefused(
            status=503,
            outcome=NotRun(code='busy', detail=''),
            spare=5,
            generation=0,
        )
        messages = []
        for with_requests in (False, True):
            before = fleet.network.messages
            for _ in range(600):
                if with_requests:
                    note_response(entry.membership, 'w-0:1', refusal)
                await asyncio.sleep(0.1)
            messages.append(fleet.network.messages - before)
        assert messages[1] <= 0.6 * messages[0]
        assert find(entry).spare <= 5

    async def test_heartbeats_are_bounded(self):
        """The total rate of heartbeats stays bounded with many targets."""
        fleet, entry = await start(agents=60)
        for index in range(60):
            agent = fleet.agents[f'w-{index}']
            fleet.network.records[index] = msgspec.structs.replace(
                agent.record, deployment=f'd-{index}'
            )
        await asyncio.sleep(10)
        watched = len(entry.membership.directory.records)
        assert watched > HEARTBEATS_PER_SECOND * STATUS_PERIOD_SECONDS
        before = fleet.network.messages
        await asyncio.sleep(60)
        sent = (fleet.network.messages - before) / 60
        assert sent <= HEARTBEATS_PER_SECOND * 1.25

    async def test_news_goes_before_the_period(self):
        """Targets hear of a withdrawal within 3 s at any heartbeat period."""
        fleet, entry = await start(agents=60)
        fleet.network.set_platform(Fault.DOWN)
        withdrawal = Withdrawal(
            change='out', scope='target', name='w-9', generation=0
        )
        entry.holder.withdraw(withdrawal)
        await asyncio.sleep(LEAVING_SECONDS)
        assert all(
            agent.holder.is_withdrawn('w-9', 'milano-a')
            for agent in fleet.agents.values()
        )

"""Time until a change is in force at every daemon, at the target size.

350 entry daemons and 2,300 agents run in one process and in virtual time. The
table service takes 2,000 reads and 400 writes a second, and also serves claims
and reads of crashing requests. A network trip takes 1 ms; processor time is
not counted.
"""

import asyncio
from typing import Final

import msgspec

from fakes.faults import Fault
from fakes.memory_control import ControlFleet
from measure.program import Row
from ragwortcourse.configuration.change import (
    BaseGeneration,
    Draft,
    commit_change,
)
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.configuration.failure_domain import FailureDomain
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import digest_content
from ragwortcourse.identifiers import (
    ChangeId,
    ClientAccountName,
    DeploymentName,
    FailureDomainName,
    Generation,
    ModelName,
    RegionName,
    VersionName,
)

ENTRIES: Final = 350
AGENTS: Final = 2300
DOMAINS: Final = 8
DEPLOYMENTS: Final = 16
ACCOUNTS: Final = 1000
# Claims of 8 failure domains a second, one transaction per 30 ms in each.
CLAIM_WRITES_PER_S: Final = 267
# Reads of the crashing requests a second: 350 entry daemons, one per 2 s each.
CRASHER_READS_PER_S: Final = 175
SETTLE_SECONDS: Final = 30.0
PAUSE_SECONDS: Final = 4.7
STEP_SECONDS: Final = 0.02
TIMEOUT_SECONDS: Final = 30.0
CHANGES: Final = 4


async def measure_target() -> Row:
    """Measure changes with the platform up and while it is unreachable."""
    fleet = _start_fleet()
    load = [
        asyncio.create_task(
            _load(fleet, CLAIM_WRITES_PER_S, CRASHER_READS_PER_S)
        ),
    ]
    await _change(fleet, 0)
    await asyncio.sleep(SETTLE_SECONDS)
    network = fleet.network
    network.index_bytes.clear()
    network.part_bytes.clear()
    reads, began = network.rows.reads, _now()
    seconds_up = []
    for number in range(1, CHANGES + 1):
        await asyncio.sleep(PAUSE_SECONDS)
        seconds_up.append(await _time_change(fleet, number))
    polls = (network.rows.reads - reads) / (_now() - began)
    sent = _count_bytes(fleet)
    seconds_down = []
    for number in range(CHANGES + 1, 2 * CHANGES + 1):
        network.set_platform(None)
        await asyncio.sleep(PAUSE_SECONDS)
        await _change(fleet, number)
        network.set_platform(Fault.DOWN)
        seconds_down.append(await _wait_for_all(fleet, Generation(number + 1)))
    load[0].cancel()
    await asyncio.gather(*load, return_exceptions=True)
    await fleet.stop()
    return {
        'measure': 'spread',
        'target': True,
        'daemons': ENTRIES,
        'agents': AGENTS,
        'accounts': ACCOUNTS,
        'deployments': DEPLOYMENTS,
        'changes': CHANGES,
        'generation_seconds': round(max(seconds_up), 2),
        'generation_seconds_mean': round(sum(seconds_up) / len(seconds_up), 2),
        'away_seconds': round(max(seconds_down), 2),
        'away_seconds_mean': round(sum(seconds_down) / len(seconds_down), 2),
        'head_reads': round(polls),
        'longest_read_wait': round(network.reads.longest, 3),
        'longest_write_wait': round(network.writes.longest, 3),
        **sent,
    }


def _now() -> float:
    return asyncio.get_running_loop().time()


def _start_fleet() -> ControlFleet:
    fleet = ControlFleet()
    for number in range(ENTRIES):
        fleet.list_entry(f'e-{number}', f'fd-{number % DOMAINS}')
    for number in range(AGENTS):
        deployment = f'd-{number // DOMAINS % DEPLOYMENTS}'
        fleet.add_agent(f't-{number}', f'fd-{number % DOMAINS}', deployment)
    for number in range(ENTRIES):
        fleet.start_entry(f'e-{number}', f'fd-{number % DOMAINS}')
    return fleet


async def _load(fleet: ControlFleet, writes: int, reads: int) -> None:
    """Load the table with claim writes and reads of crashing requests."""
    due_reads = 0.0
    while True:
        await asyncio.sleep(1 / writes)
        async with asyncio.TaskGroup() as turn:
            turn.create_task(fleet.network.writes.wait())
            due_reads += reads / writes
            if due_reads >= 1:
                due_reads -= 1
                turn.create_task(fleet.network.reads.wait())


def make_configuration(weight: int, accounts: int = ACCOUNTS) -> Configuration:
    """Make a configuration of the target size.

    :param weight: added to the weight 1 of the first client account.
    :param accounts: number of client accounts.
    """
    places = tuple(f'fd-{number}' for number in range(DOMAINS))
    return Configuration(
        failure_domains=tuple(
            FailureDomain(
                name=FailureDomainName(place), region=RegionName('lombardia')
            )
            for place in places
        ),
        client_accounts=tuple(
            ClientAccount(
                name=ClientAccountName(f'account-{number:05}'),
                weight=1 if number else 1 + weight,
                key_sha256=(digest_content(str(number).encode()),),
            )
            for number in range(accounts)
        ),
        models=tuple(
            ModelDeployment(
                name=DeploymentName(f'd-{number}'),
                model=ModelName(f'model-{number}'),
                version=VersionName('1'),
                manifest_sha256=digest_content(str(number).encode()),
                failure_domains=tuple(map(FailureDomainName, places)),
            )
            for number in range(DEPLOYMENTS)
        ),
    )


async def _change(fleet: ControlFleet, number: int) -> None:
    entry = fleet.entries[f'e-{number}']

    def draft(_: BaseGeneration) -> Draft:
        return Draft(configuration=make_configuration(number))

    change = ChangeId(f'change-{number}')
    await commit_change(entry.holder, entry.store, change, draft)


async def _time_change(fleet: ControlFleet, number: int) -> float:
    await _change(fleet, number)
    return await _wait_for_all(fleet, Generation(number + 1))


async def _wait_for_all(fleet: ControlFleet, generation: Generation) -> float:
    began = _now()
    waiting: list[ConfigurationHolder] = fleet.holders
    while waiting and _now() - began < TIMEOUT_SECONDS:
        await asyncio.sleep(STEP_SECONDS)
        waiting = [one for one in waiting if one.generation < generation]
    return _now() - began


def _count_bytes(fleet: ControlFleet) -> Row:
    network = fleet.network
    agents = fleet.agents
    entries = fleet.entries
    whole = msgspec.json.encode(make_configuration(1))
    return {
        'document_bytes': len(whole),
        'agent_index_bytes': round(
            sum(network.index_bytes[name] for name in agents) / AGENTS / CHANGES
        ),
        'agent_part_bytes': round(
            sum(network.part_bytes[name] for name in agents) / AGENTS / CHANGES
        ),
        'entry_peer_bytes': round(
            sum(
                network.index_bytes[name] + network.part_bytes[name]
                for name in entries
            )
            / ENTRIES
            / CHANGES
        ),
    }

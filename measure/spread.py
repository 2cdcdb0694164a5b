"""Time and traffic until changes and withdrawals reach every daemon.

The control code of the daemons runs unchanged in one process, in virtual time
and on stand-ins. A network trip takes 1 ms. Bytes count JSON bodies only.
"""

import asyncio
import concurrent.futures
import time
import zlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final

import looptime
import msgspec

from fakes.faults import Fault
from fakes.memory_control import ControlFleet
from measure.spread_target import make_configuration, measure_target
from ragwortcourse.configuration.change import (
    BaseGeneration,
    Draft,
    commit_change,
)
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.part import arrange_configuration
from ragwortcourse.configuration.snapshot import Index, build_snapshot
from ragwortcourse.configuration.withdrawals import apply_withdrawal
from ragwortcourse.identifiers import (
    ChangeId,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    RegionName,
    TargetName,
)
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.membership import build_heartbeat
from ragwortcourse.membership.subset import Watcher, select_subset
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

SIZES: Final = ((3, 9, 24), (8, 24, 160), (8, 48, 320))
IDLE_SECONDS: Final = 20.0
TIMEOUT_SECONDS: Final = 30.0
STEP_SECONDS: Final = 0.05
DAEMONS: Final = 350
TARGETS: Final = 2300
DOMAINS: Final = 8
WORKERS: Final = 3
Row = dict[str, str | int | float | bool | None]


def run() -> Iterator[Row]:
    """Yield rows of fleets, watched subsets and configuration documents."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        target = pool.submit(_run_target)
        yield from pool.map(_run_virtual, SIZES)
        for deployments in (2, 5, 20):
            yield _measure_subset(deployments)
        for accounts in (20, 100, 200, 1000):
            yield _measure_document(accounts)
        yield target.result()


def _run_virtual(size: tuple[int, int, int]) -> Row:
    return _run_loop(_measure_fleet(*size))


def _run_loop(work: Coroutine[Any, Any, Row]) -> Row:
    # Nothing here waits for threads or sockets, so the loop need not poll for
    # them before it advances the virtual time.
    loop = looptime.patch_event_loop(asyncio.SelectorEventLoop(), noop_cycles=0)
    try:
        row: Row = loop.run_until_complete(work)
    finally:
        loop.close()
    return row


async def _measure_fleet(domains: int, daemons: int, targets: int) -> Row:
    fleet = ControlFleet()
    for index in range(daemons):
        fleet.list_entry(f'e-{index}', f'fd-{index % domains}')
    for index in range(targets):
        fleet.add_agent(
            f't-{index}', f'fd-{index % domains}', f'd-{index // domains % 5}'
        )
    for index in range(daemons):
        fleet.start_entry(f'e-{index}', f'fd-{index % domains}')
    await _change(fleet, 'first')
    await asyncio.sleep(IDLE_SECONDS)
    before = fleet.network.messages
    await asyncio.sleep(IDLE_SECONDS)
    idle = (fleet.network.messages - before) / IDLE_SECONDS / daemons
    generation = await _time_until(fleet, 'second', _holds_second)
    fleet.network.set_platform(Fault.DOWN)
    await asyncio.sleep(2)
    before = fleet.network.messages
    withdrawal = await _time_withdrawal(fleet)
    spent = fleet.network.messages - before - idle * daemons * withdrawal
    watched = [
        len(entry.membership.directory.records)
        for entry in fleet.entries.values()
    ]
    heartbeat = build_heartbeat(fleet.entries['e-0'].membership)
    await fleet.stop()
    return {
        'measure': 'spread',
        'failure_domains': domains,
        'daemons': daemons,
        'targets': targets,
        'watched': sum(watched) / daemons,
        'idle_messages_each': round(idle, 2),
        'generation_seconds': round(generation, 2),
        'withdrawal_seconds': round(withdrawal, 2),
        'withdrawal_messages_each': round(spent / daemons, 1),
        'heartbeat_bytes': len(msgspec.json.encode(heartbeat)),
    }


async def _change(fleet: ControlFleet, name: str) -> None:
    entry = fleet.entries['e-0']

    def draft(base: BaseGeneration) -> Draft:
        return Draft(configuration=base.configuration)

    await commit_change(entry.holder, entry.store, ChangeId(name), draft)


def _holds_second(holder: ConfigurationHolder) -> bool:
    return holder.generation >= 2


def _holds_withdrawal(holder: ConfigurationHolder) -> bool:
    return holder.is_withdrawn(TargetName('t-1'), FailureDomainName('fd-1'))


async def _time_until(
    fleet: ControlFleet, name: str, holds: Callable[[ConfigurationHolder], bool]
) -> float:
    await _change(fleet, name)
    return await _wait_for_all(fleet, holds)


async def _time_withdrawal(fleet: ControlFleet) -> float:
    entry = fleet.entries['e-0']
    part = Withdrawal(
        change=ChangeId('out'),
        scope=WithdrawalScope.FAILURE_DOMAIN,
        name='fd-1',
        generation=Generation(2),
    )
    await apply_withdrawal(entry.holder, entry.store, part)
    return await _wait_for_all(fleet, _holds_withdrawal)


async def _wait_for_all(
    fleet: ControlFleet, holds: Callable[[ConfigurationHolder], bool]
) -> float:
    began = asyncio.get_running_loop().time()
    while not all(holds(holder) for holder in fleet.holders):
        await asyncio.sleep(STEP_SECONDS)
        if asyncio.get_running_loop().time() - began > TIMEOUT_SECONDS:
            break
    return asyncio.get_running_loop().time() - began


def _measure_subset(deployments: int) -> Row:
    watchers = tuple(
        Watcher(
            daemon=DaemonId(f'e-{index}'),
            failure_domain=FailureDomainName(f'fd-{index % DOMAINS}'),
        )
        for index in range(DAEMONS)
    )
    agents = tuple(
        ListedTarget(
            target=TargetName(f't-{index}'),
            deployment=DeploymentName(f'd-{index // DOMAINS % deployments}'),
            failure_domain=FailureDomainName(f'fd-{index % DOMAINS}'),
            region=RegionName('r'),
            address=f't-{index}:1',
            leaving=False,
        )
        for index in range(TARGETS)
    )
    began = time.perf_counter()
    subsets = [
        select_subset(own, watchers, agents, frozenset())
        for own in watchers[:16]
    ]
    spent = (time.perf_counter() - began) / len(subsets)
    return {
        'measure': 'spread',
        'subset': True,
        'daemons': DAEMONS,
        'targets': TARGETS,
        'deployments': deployments,
        'watched': sum(len(one.targets) for one in subsets) / len(subsets),
        'duties': sum(len(one.assigned_targets) for one in subsets)
        / len(subsets),
        'select_ms': round(1000 * spent, 1),
    }


def _measure_document(accounts: int) -> Row:
    configuration = arrange_configuration(make_configuration(0, accounts))
    snapshot = build_snapshot(
        ConfigurationDocument(
            generation=Generation(1),
            configuration=configuration,
            change=ChangeId('change-1'),
        )
    )
    index = msgspec.json.decode(snapshot.index, type=Index)
    content = msgspec.json.encode(configuration)
    return {
        'measure': 'spread',
        'document': True,
        'accounts': accounts,
        'deployments': len(configuration.models),
        'bytes': len(content),
        'deflated_bytes': len(zlib.compress(content)),
        'index_deflated_bytes': len(zlib.compress(snapshot.index)),
        'accounts_part_deflated_bytes': max(
            len(zlib.compress(snapshot.contents[digest]))
            for digest in index.accounts
        ),
        'shared_part_deflated_bytes': max(
            len(zlib.compress(snapshot.contents[digest]))
            for digest in index.shared
        ),
    }


def _run_target() -> Row:
    return _run_loop(measure_target())

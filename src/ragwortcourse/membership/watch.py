"""Loop that reads the list of hosts and starts heartbeats to targets."""

import asyncio
import logging
from typing import Final

from opentelemetry import metrics

from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.heartbeats import run_heartbeats
from ragwortcourse.membership.hosts import HostRecord, HostsUnavailable
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.membership import Membership
from ragwortcourse.membership.subset import (
    WatchedSubset,
    Watcher,
    select_subset,
)
from ragwortcourse.membership.target_record import TargetRecord

LOGGER = logging.getLogger(__name__)
METER = metrics.get_meter(__name__)
LIST_READS = METER.create_counter('ragwortcourse.membership.list_reads')
LIST_FAILED = METER.create_counter('ragwortcourse.membership.list_failed')

LIST_PERIOD_SECONDS: Final = 2.0
LIST_JITTER: Final = 0.2


async def watch_targets(membership: Membership) -> None:
    """Keep the directory of targets up to date until cancelled."""
    tasks: dict[TargetName, asyncio.Task[None]] = {}
    applied = None
    try:
        while True:
            revision = membership.holder.revision
            await read_list(membership)
            seen = membership.roster.revision, list_withdrawn(membership)
            if seen != applied:
                apply_subset(membership, tasks)
                applied = seen
            await _wait_for_list(membership, revision)
    finally:
        await _end_watching(membership, tasks)


async def _end_watching(
    membership: Membership, tasks: dict[TargetName, asyncio.Task[None]]
) -> None:
    for task in tasks.values():
        task.cancel()
    await asyncio.gather(*tasks.values(), return_exceptions=True)
    await membership.background.cancel()


async def read_list(membership: Membership) -> None:
    """Read the platform's list once and update the roster."""
    if membership.hosts is None:
        return
    LIST_READS.add(1)
    outcome = await membership.hosts.read()
    if isinstance(outcome, HostsUnavailable):
        LIST_FAILED.add(1)
        return
    if not outcome.records and membership.roster.listed:
        # A list that suddenly has no hosts is wrong or useless.
        LIST_FAILED.add(1)
        return
    kept = _find_unlisted_hosts(membership, outcome.records)
    if membership.roster.replace_listed(outcome.records + kept):
        LOGGER.info(
            'list of hosts changed', extra={'hosts': len(outcome.records)}
        )


def _find_unlisted_hosts(
    membership: Membership, records: tuple[HostRecord, ...]
) -> tuple[HostRecord, ...]:
    """Return hosts gone from the list whose targets still answer."""
    named = {record.target for record in records}
    return tuple(
        record
        for record in membership.roster.listed
        if record.target is not None
        and record.target not in named
        and _is_answering(membership.directory.find(record.target))
    )


def _is_answering(record: TargetRecord | None) -> bool:
    if record is None or record.status is None:
        return False
    return not record.leaving


def apply_subset(
    membership: Membership, tasks: dict[TargetName, asyncio.Task[None]]
) -> None:
    """Start and cancel heartbeats according to the current subset."""
    agents = {agent.target: agent for agent in membership.roster.agents}
    subset = choose_subset(membership)
    membership.assigned_targets.clear()
    membership.assigned_targets.update(subset.assigned_targets)
    for target in tuple(tasks):
        if target not in subset.targets:
            tasks.pop(target).cancel()
            membership.directory.drop(target)
    for target in sorted(subset.targets):
        record = _put_record(membership, agents[target])
        if target not in tasks:
            tasks[target] = asyncio.create_task(
                run_heartbeats(membership, record)
            )


def choose_subset(membership: Membership) -> WatchedSubset:
    """Choose the subset of targets from the current roster."""
    settings = membership.settings
    agents = membership.roster.agents
    watchers = tuple(
        Watcher(daemon=entry.daemon, failure_domain=entry.failure_domain)
        for entry in membership.roster.entry_daemons
    )
    own = Watcher(
        daemon=settings.daemon, failure_domain=settings.failure_domain
    )
    return select_subset(own, watchers, agents, list_withdrawn(membership))


def list_withdrawn(membership: Membership) -> frozenset[TargetName]:
    """Return the targets that operators have withdrawn."""
    return frozenset(
        agent.target
        for agent in membership.roster.agents
        if membership.holder.is_withdrawn(agent.target, agent.failure_domain)
    )


def _put_record(membership: Membership, agent: ListedTarget) -> TargetRecord:
    """Create the record of a target, or update it from the list."""
    target = agent.target
    record = membership.directory.find(target)
    if record is None or record.deployment != agent.deployment:
        record = TargetRecord(
            target=target,
            deployment=agent.deployment,
            failure_domain=agent.failure_domain,
            region=agent.region,
            address=agent.address,
        )
        membership.directory.put(record)
    if record.address != agent.address:
        record.address = agent.address
        record.status = None
        record.leaving = False
    record.leaving = record.leaving or agent.leaving
    return record


async def _wait_for_list(membership: Membership, revision: int) -> None:
    jitter = membership.rng.uniform(1 - LIST_JITTER, 1 + LIST_JITTER)
    try:
        async with asyncio.timeout(LIST_PERIOD_SECONDS * jitter):
            await membership.holder.wait_past(revision)
    except TimeoutError:
        return

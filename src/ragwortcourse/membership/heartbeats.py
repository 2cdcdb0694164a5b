"""Heartbeats to one target: what its agent says, and what it is told."""

import asyncio
import logging
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.membership.membership import Membership, build_heartbeat
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.messages.target_status import TargetStatus

LOGGER = logging.getLogger(__name__)
METER = metrics.get_meter(__name__)
SENT = METER.create_counter('ragwortcourse.membership.heartbeats')
SILENT = METER.create_counter('ragwortcourse.membership.heartbeats_silent')

STATUS_PERIOD_SECONDS: Final = 2.0
PERIOD_JITTER: Final = 0.2
# Heartbeats a second that one daemon sends, to all its targets together.
HEARTBEATS_PER_SECOND: Final = 4.0
# Wait after a heartbeat that failed or found its agent behind.
RETRY_SECONDS: Final = 0.5
# Doublings of that wait while the trouble lasts.
BACKOFF_STEPS: Final = 6
# Periods for which signs of live requests may stand in for a heartbeat.
SKIPPED_PERIODS: Final = 2.0
# Shorter waits are not worth a timer of their own.
LEAST_WAIT_SECONDS: Final = 0.05
PUSH_JITTER_SECONDS: Final = 0.1
# Missed heartbeats in a row after which a target is no longer held alive.
MISSED_ALLOWED: Final = 2
LATENCY_SMOOTHING: Final = 0.2


async def run_heartbeats(membership: Membership, record: TargetRecord) -> None:
    """Keep one record true to what its agent says, forever."""
    troubled = 0
    missed = 0
    while True:
        revision = membership.holder.revision
        if await send_heartbeat(membership, record):
            missed = 0
        else:
            missed += 1
        if missed > MISSED_ALLOWED:
            _mark_silent(record)
        sound = is_agent_up_to_date(membership, record)
        troubled = 0 if sound else troubled + 1
        await _wait_for_beat(membership, record, revision, troubled)


async def send_heartbeat(membership: Membership, record: TargetRecord) -> bool:
    """Send one heartbeat; say whether the agent answered."""
    SENT.add(1)
    began = read_clock()
    address = record.address
    status = await membership.agent_port.heartbeat(
        address, build_heartbeat(membership)
    )
    if isinstance(status, PeerUnavailable) or address != record.address:
        SILENT.add(1)
        return False
    note_latency(record, read_clock() - began)
    await apply_status(membership, record, status)
    return True


async def apply_status(
    membership: Membership, record: TargetRecord, status: TargetStatus
) -> None:
    """Believe what an agent said of its target, and learn from it."""
    if status.target != record.target:
        record.status = None
        return
    if record.status is None:
        LOGGER.info('target answers', extra={'target': record.target})
    record.status = status
    record.status_at = read_clock()
    record.last_heard_at = record.status_at
    record.spare = max(0, status.limit - status.running)
    listed = membership.roster.is_leaving(record.target)
    record.leaving = status.leaving or listed
    for withdrawal in status.withdrawals:
        membership.holder.withdraw(withdrawal)
    await fetch_from_peer(
        holder=membership.holder,
        port=membership.daemon_port,
        sender=record.address,
        generation=status.generation,
    )


def is_agent_up_to_date(membership: Membership, record: TargetRecord) -> bool:
    """Tell whether the agent is known to hold all that is in force here."""
    status = record.status
    if status is None or status.generation < membership.holder.generation:
        return False
    known = {withdrawal.change for withdrawal in status.withdrawals}
    return all(
        withdrawal.change in known
        for withdrawal in membership.holder.withdrawals
    )


def note_latency(record: TargetRecord, seconds: float) -> None:
    """Smooth a round trip into the record."""
    if record.latency == 0:
        record.latency = seconds
        return
    record.latency += LATENCY_SMOOTHING * (seconds - record.latency)


def read_period(membership: Membership) -> float:
    """Seconds between heartbeats to one target, by how many there are."""
    watched = len(membership.directory.records)
    return max(STATUS_PERIOD_SECONDS, watched / HEARTBEATS_PER_SECOND)


def _mark_silent(record: TargetRecord) -> None:
    if record.status is not None:
        LOGGER.warning('target is silent', extra={'target': record.target})
    record.status = None


async def _wait_for_beat(
    membership: Membership,
    record: TargetRecord,
    revision: int,
    troubled: int,
) -> None:
    """Return when the next heartbeat is due, or there is news to tell.

    :param revision: revision that the last heartbeat told.
    :param troubled: heartbeats in a row after which the agent was silent
        or behind.
    """
    period = read_period(membership)
    began = read_clock()
    wait = _read_wait(membership, period, troubled)
    while wait > LEAST_WAIT_SECONDS:
        if await _wait_for_news(membership, record, revision, wait):
            return
        if troubled or read_clock() - began >= SKIPPED_PERIODS * period:
            return
        wait = record.last_heard_at + period - read_clock()


def _read_wait(membership: Membership, period: float, troubled: int) -> float:
    jitter = membership.rng.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
    if not troubled:
        return period * jitter
    backoff = RETRY_SECONDS * float(1 << min(troubled - 1, BACKOFF_STEPS))
    return min(period, backoff) * jitter


async def _wait_for_news(
    membership: Membership, record: TargetRecord, revision: int, wait: float
) -> bool:
    """Whether there is news to tell; false once the wait is over."""
    try:
        async with asyncio.timeout(wait):
            while True:
                await membership.holder.wait_past(revision)
                revision = membership.holder.revision
                if record.target not in membership.assigned_targets:
                    continue
                await asyncio.sleep(
                    membership.rng.uniform(0, PUSH_JITTER_SECONDS)
                )
                if not is_agent_up_to_date(membership, record):
                    return True
    except TimeoutError:
        return False

"""Heartbeats to the agent of one target."""

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
UNANSWERED = METER.create_counter('ragwortcourse.membership.heartbeats_silent')

STATUS_PERIOD_SECONDS: Final = 2.0
PERIOD_JITTER: Final = 0.2
# Total rate of heartbeats from one daemon to all its targets.
HEARTBEATS_PER_SECOND: Final = 4.0
# First backoff after a heartbeat failed or showed a stale agent.
RETRY_SECONDS: Final = 0.5
# Greatest number of doublings of the backoff.
BACKOFF_STEPS: Final = 6
# Periods for which answers to requests may replace heartbeats.
MAX_SKIPPED_PERIODS: Final = 2.0
# A shorter wait is not worth a timer.
MIN_WAIT_SECONDS: Final = 0.05
PUSH_JITTER_SECONDS: Final = 0.1
# Consecutive missed heartbeats for which a target still counts as alive.
MAX_MISSED_HEARTBEATS: Final = 2
LATENCY_SMOOTHING: Final = 0.2


async def run_heartbeats(membership: Membership, record: TargetRecord) -> None:
    """Update one record from its agent's answers until cancelled."""
    failures = 0
    missed = 0
    while True:
        revision = membership.holder.revision
        if await send_heartbeat(membership, record):
            missed = 0
        else:
            missed += 1
        if missed > MAX_MISSED_HEARTBEATS:
            _discard_status(record)
        up_to_date = is_agent_up_to_date(membership, record)
        failures = 0 if up_to_date else failures + 1
        await _wait_for_heartbeat(membership, record, revision, failures)


async def send_heartbeat(membership: Membership, record: TargetRecord) -> bool:
    """Send one heartbeat and return whether the agent answered."""
    SENT.add(1)
    began = read_clock()
    address = record.address
    status = await membership.agent_port.heartbeat(
        address, build_heartbeat(membership)
    )
    if isinstance(status, PeerUnavailable) or address != record.address:
        UNANSWERED.add(1)
        return False
    note_latency(record, read_clock() - began)
    await apply_status(membership, record, status)
    return True


async def apply_status(
    membership: Membership, record: TargetRecord, status: TargetStatus
) -> None:
    """Store an agent's status in the record and adopt newer state."""
    if status.target != record.target:
        record.status = None
        return
    if record.status is None:
        LOGGER.info(
            'target answered a heartbeat; its status is known',
            extra={'target': record.target},
        )
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
    """Tell whether the agent has the current generation and withdrawals."""
    status = record.status
    if status is None or status.generation < membership.holder.generation:
        return False
    known = {withdrawal.change for withdrawal in status.withdrawals}
    return all(
        withdrawal.change in known
        for withdrawal in membership.holder.withdrawals
    )


def note_latency(record: TargetRecord, seconds: float) -> None:
    """Add a round trip to the smoothed latency of the record."""
    if record.latency == 0:
        record.latency = seconds
        return
    record.latency += LATENCY_SMOOTHING * (seconds - record.latency)


def read_period(membership: Membership) -> float:
    """Return the seconds between heartbeats to each watched target."""
    watched = len(membership.directory.records)
    return max(STATUS_PERIOD_SECONDS, watched / HEARTBEATS_PER_SECOND)


def _discard_status(record: TargetRecord) -> None:
    if record.status is not None:
        LOGGER.warning(
            'target missed too many heartbeats; its status is discarded',
            extra={'target': record.target},
        )
    record.status = None


async def _wait_for_heartbeat(
    membership: Membership,
    record: TargetRecord,
    revision: int,
    failures: int,
) -> None:
    """Wait until a heartbeat is due or the agent needs a change.

    :param revision: revision of the state before the last heartbeat.
    :param failures: consecutive heartbeats after which the agent had not
        answered or was not up to date.
    """
    period = read_period(membership)
    began = read_clock()
    wait = _read_wait(membership, period, failures)
    while wait > MIN_WAIT_SECONDS:
        if await _wait_for_change(membership, record, revision, wait):
            return
        if failures or read_clock() - began >= MAX_SKIPPED_PERIODS * period:
            return
        wait = record.last_heard_at + period - read_clock()


def _read_wait(membership: Membership, period: float, failures: int) -> float:
    jitter = membership.rng.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
    if not failures:
        return period * jitter
    backoff = RETRY_SECONDS * float(1 << min(failures - 1, BACKOFF_STEPS))
    return min(period, backoff) * jitter


async def _wait_for_change(
    membership: Membership, record: TargetRecord, revision: int, wait: float
) -> bool:
    """Return true if the agent needs a change, false after the wait."""
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

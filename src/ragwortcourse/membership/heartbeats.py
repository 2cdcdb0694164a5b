"""Heartbeats to one target: what its agent says, and what it is told."""

import asyncio
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.feed import learn_generation
from ragwortcourse.membership.membership import Membership, build_heartbeat
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.peer_port import PeerSilent
from ragwortcourse.messages.target_status import TargetStatus

METER = metrics.get_meter(__name__)
SENT = METER.create_counter('ragwortcourse.membership.heartbeats')
SILENT = METER.create_counter('ragwortcourse.membership.heartbeats_silent')

STATUS_PERIOD_SECONDS: Final = 2.0
PERIOD_JITTER: Final = 0.2
# Heartbeats a second that one daemon sends, to all its targets together.
HEARTBEAT_RATE: Final = 6.0
# Missed heartbeats in a row after which a target is no longer held alive.
MISSED_ALLOWED: Final = 2
LATENCY_SMOOTHING: Final = 0.2


async def watch_target(membership: Membership, record: TargetRecord) -> None:
    """Keep one record true to what its agent says, forever."""
    missed = 0
    while True:
        if await beat_once(membership, record):
            missed = 0
        else:
            missed += 1
        if missed > MISSED_ALLOWED:
            record.status = None
        await _wait_for_beat(membership)


async def beat_once(membership: Membership, record: TargetRecord) -> bool:
    """Send one heartbeat; say whether the agent answered."""
    SENT.add(1)
    began = read_clock()
    status = await membership.agent_port.heartbeat(
        record.address, build_heartbeat(membership)
    )
    if isinstance(status, PeerSilent):
        SILENT.add(1)
        return False
    note_latency(record, read_clock() - began)
    await take_status(membership, record, status)
    return True


async def take_status(
    membership: Membership, record: TargetRecord, status: TargetStatus
) -> None:
    """Believe what an agent said of its target, and learn from it."""
    if status.target != record.target:
        record.status = None
        return
    record.status = status
    record.status_at = read_clock()
    record.spare = max(0, status.limit - status.running)
    listed = membership.roster.is_leaving(record.target)
    record.leaving = status.leaving or listed
    for withdrawal in status.withdrawals:
        membership.holder.withdraw(withdrawal)
    await learn_generation(
        holder=membership.holder,
        port=membership.daemon_port,
        sender=record.address,
        generation=status.generation,
    )


def note_latency(record: TargetRecord, seconds: float) -> None:
    """Smooth a round trip into the record."""
    if record.latency == 0:
        record.latency = seconds
        return
    record.latency += LATENCY_SMOOTHING * (seconds - record.latency)


async def _wait_for_beat(membership: Membership) -> None:
    watched = len(membership.directory.records)
    period = max(STATUS_PERIOD_SECONDS, watched / HEARTBEAT_RATE)
    jitter = membership.rng.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
    try:
        async with asyncio.timeout(period * jitter):
            await membership.holder.wait_for_change()
    except TimeoutError:
        return

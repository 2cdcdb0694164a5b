"""Gossip of generations and withdrawals between entry daemons."""

import asyncio
from typing import Final

from opentelemetry import metrics

from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.membership.membership import Membership, build_heartbeat
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import PeerUnavailable

METER = metrics.get_meter(__name__)
SENT = METER.create_counter('ragwortcourse.membership.exchanges')
UNANSWERED = METER.create_counter('ragwortcourse.membership.exchanges_silent')

EXCHANGE_PERIOD_SECONDS: Final = 2.0
EXCHANGE_JITTER: Final = 0.2
# Peers that get a change at once: in the own failure domain and in others.
PUSH_NEAR: Final = 3
PUSH_FAR: Final = 3


async def exchange_with_peers(membership: Membership) -> None:
    """Exchange state with random entry daemons until cancelled."""
    near, far = PUSH_NEAR, PUSH_FAR
    while True:
        revision = membership.holder.revision
        for address in pick_peers(membership, near, far):
            membership.background.spawn(exchange_once(membership, address))
        if await _wait_for_change(membership, revision):
            near, far = PUSH_NEAR, PUSH_FAR
        else:
            near, far = membership.rng.choice(((1, 0), (0, 1)))


async def exchange_once(membership: Membership, address: str) -> None:
    """Send the own state to one peer and adopt newer state from there."""
    SENT.add(1)
    answer = await membership.daemon_port.exchange(
        address, build_heartbeat(membership)
    )
    if isinstance(answer, PeerUnavailable):
        UNANSWERED.add(1)
        return
    await take_heartbeat(membership, answer)


async def answer_exchange(
    membership: Membership, heartbeat: Heartbeat
) -> Heartbeat:
    """Adopt newer state from a peer and return the own state."""
    await take_heartbeat(membership, heartbeat)
    return build_heartbeat(membership)


async def take_heartbeat(membership: Membership, heartbeat: Heartbeat) -> None:
    """Adopt withdrawals and a newer generation from an entry daemon."""
    membership.roster.remember_address(heartbeat.daemon, heartbeat.sender)
    for withdrawal in heartbeat.withdrawals:
        membership.holder.withdraw(withdrawal)
    await fetch_from_peer(
        holder=membership.holder,
        port=membership.daemon_port,
        sender=heartbeat.sender,
        generation=heartbeat.generation,
    )


def pick_peers(membership: Membership, near: int, far: int) -> list[str]:
    """Return the addresses of random peers.

    :param near: number of peers in the own failure domain.
    :param far: number of peers in other failure domains.
    """
    own = membership.settings.failure_domain
    peers = membership.roster.peers
    near_ids = {
        entry.daemon
        for entry in membership.roster.entry_daemons
        if entry.failure_domain == own
    }
    inside = sorted(peers[daemon] for daemon in near_ids)
    outside = sorted(peers[daemon] for daemon in peers.keys() - near_ids)
    rng = membership.rng
    return [
        *rng.sample(inside, min(near, len(inside))),
        *rng.sample(outside, min(far, len(outside))),
    ]


async def _wait_for_change(membership: Membership, revision: int) -> bool:
    jitter = membership.rng.uniform(1 - EXCHANGE_JITTER, 1 + EXCHANGE_JITTER)
    try:
        async with asyncio.timeout(EXCHANGE_PERIOD_SECONDS * jitter):
            await membership.holder.wait_past(revision)
    except TimeoutError:
        return False
    return True

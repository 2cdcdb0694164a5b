"""Exchange between entry daemons: generations and withdrawals."""

import asyncio
from typing import Final

from opentelemetry import metrics

from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.membership.membership import Membership, build_heartbeat
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import PeerUnavailable

METER = metrics.get_meter(__name__)
SENT = METER.create_counter('ragwortcourse.membership.exchanges')
SILENT = METER.create_counter('ragwortcourse.membership.exchanges_silent')

EXCHANGE_PERIOD_SECONDS: Final = 2.0
EXCHANGE_JITTER: Final = 0.2
# Peers told at once of news: of the own failure domain, and of others.
PUSH_NEAR: Final = 3
PUSH_FAR: Final = 3


async def exchange_with_peers(membership: Membership) -> None:
    """Exchange with a few other entry daemons, forever."""
    near, far = PUSH_NEAR, PUSH_FAR
    while True:
        revision = membership.holder.revision
        for address in pick_peers(membership, near, far):
            membership.background.spawn(exchange_once(membership, address))
        if await _wait_for_news(membership, revision):
            near, far = PUSH_NEAR, PUSH_FAR
        else:
            near, far = membership.rng.choice(((1, 0), (0, 1)))


async def exchange_once(membership: Membership, address: str) -> None:
    """Tell one peer the own state, and take what is newer there."""
    SENT.add(1)
    answer = await membership.daemon_port.exchange(
        address, build_heartbeat(membership)
    )
    if isinstance(answer, PeerUnavailable):
        SILENT.add(1)
        return
    await take_heartbeat(membership, answer)


async def answer_exchange(
    membership: Membership, heartbeat: Heartbeat
) -> Heartbeat:
    """The own state, after what is newer in the other's was taken."""
    await take_heartbeat(membership, heartbeat)
    return build_heartbeat(membership)


async def take_heartbeat(membership: Membership, heartbeat: Heartbeat) -> None:
    """Take over what another entry daemon knows and this one doesn't."""
    membership.roster.hear(heartbeat.daemon, heartbeat.sender)
    for withdrawal in heartbeat.withdrawals:
        membership.holder.withdraw(withdrawal)
    await fetch_from_peer(
        holder=membership.holder,
        port=membership.daemon_port,
        sender=heartbeat.sender,
        generation=heartbeat.generation,
    )


def pick_peers(membership: Membership, near: int, far: int) -> list[str]:
    """Addresses of random peers, some of the own failure domain."""
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


async def _wait_for_news(membership: Membership, revision: int) -> bool:
    jitter = membership.rng.uniform(1 - EXCHANGE_JITTER, 1 + EXCHANGE_JITTER)
    try:
        async with asyncio.timeout(EXCHANGE_PERIOD_SECONDS * jitter):
            await membership.holder.wait_past(revision)
    except TimeoutError:
        return False
    return True

"""Directory of the agents that download the same weights."""

import asyncio
import random
from typing import Final

from ragwortcourse.membership.hosts import (
    HostListPort,
    HostRecord,
    HostRole,
    HostsListed,
    HostState,
)
from ragwortcourse.settings import Settings
from ragwortcourse.weights.peer_port import PeerAddress

# With 2,300 agents, about 19 reads a second in total.
REFRESH_SECONDS: Final = 120.0
RETRY_SECONDS: Final = 10.0


class PeerDirectory:
    """Agents in the last list of hosts that was read; may be out of date."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._peers = self._select(settings.known)

    def list_peers(self) -> tuple[PeerAddress, ...]:
        """Return the agents of the same deployment without a planned stop.

        The list does not prove that these agents are alive.
        """
        return self._peers

    def take(self, records: tuple[HostRecord, ...]) -> None:
        """Replace the list of hosts by a newer one."""
        self._peers = self._select(records)

    def _select(
        self, records: tuple[HostRecord, ...]
    ) -> tuple[PeerAddress, ...]:
        agent = self._settings.agent
        return tuple(
            PeerAddress(
                daemon=record.daemon,
                address=record.address,
                failure_domain=record.failure_domain,
                region=record.region,
            )
            for record in records
            if agent is not None
            and record.role is HostRole.AGENT
            and record.state is HostState.LIVE
            and record.deployment == agent.deployment
        )


async def follow_hosts(
    *, directory: PeerDirectory, hosts: HostListPort, rng: random.Random
) -> None:
    """Refresh the directory at jittered intervals until cancelled."""
    while True:
        outcome = await hosts.read()
        is_listed = isinstance(outcome, HostsListed)
        if isinstance(outcome, HostsListed):
            directory.take(outcome.records)
        wait = REFRESH_SECONDS if is_listed else RETRY_SECONDS
        await asyncio.sleep(rng.uniform(wait / 2, wait * 3 / 2))

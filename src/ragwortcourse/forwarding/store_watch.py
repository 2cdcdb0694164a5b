"""Detection of store outages by a quorum of entry daemons.

A daemon that can't reach the store may itself be cut off while the others
reach the store. Only if most registered daemons report that they can't reach
the store, the outage is one of the store itself.
"""

import logging
import math
from collections.abc import Collection
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.peer_counts import FRESH_SECONDS
from ragwortcourse.identifiers import DaemonId

# Fewer daemons can't tell a store outage from a network partition.
MIN_VOTING_DAEMONS: Final = 3
# Greater than the share of daemons in one failure domain, which may be cut
# off as a whole.
OUTAGE_QUORUM_SHARE: Final = 0.6


LOGGER: Final = logging.getLogger(__name__)


class StoreWatch:
    """Reports of daemons on whether they reach the store.

    :param state: holds ``store_lost`` and ``store_failed_at`` of this daemon,
        and gets the time of an outage.
    """

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._lost: dict[DaemonId, float] = {}
        self._reported: dict[DaemonId, float] = {}
        self._started_at = read_clock_with_suspend()

    def note_peer(
        self, daemon: DaemonId, *, lost: bool, stable_for: float | None
    ) -> None:
        """Apply the report of another daemon.

        :param lost: true while the store does not answer that daemon.
        :param stable_for: seconds since that daemon last knew of a store
            outage of the fleet; none: never.
        """
        now = read_clock_with_suspend()
        self._reported[daemon] = now
        if lost:
            self._lost[daemon] = now
        else:
            self._lost.pop(daemon, None)
        if stable_for is not None:
            self._take_outage(daemon, now - stable_for)

    def has_reported(self, daemon: DaemonId) -> bool:
        """Tell whether another daemon sent a message recently."""
        reported_at = self._reported.get(daemon, -math.inf)
        return read_clock_with_suspend() - reported_at < FRESH_SECONDS

    def detect_outage(self, registered: Collection[DaemonId]) -> None:
        """Record a store outage if a quorum of daemons has lost the store.

        The last failed call tells until when the store was unreachable. It
        may fail long after it was sent, with the store back meanwhile.

        :param registered: all entry daemons, this one included.
        """
        now = read_clock_with_suspend()
        if not self._state.store_lost or len(registered) < MIN_VOTING_DAEMONS:
            return
        others = [
            daemon
            for daemon in registered
            if now - self._lost.get(daemon, -math.inf) < FRESH_SECONDS
        ]
        if len(others) + 1 > OUTAGE_QUORUM_SHARE * len(registered):
            if now - self._state.store_outage_at > FRESH_SECONDS:
                LOGGER.warning(
                    'store unreachable for most daemons, '
                    'bounds on versions restart',
                    extra={'lost': others, 'registered': len(registered)},
                )
            self._state.store_outage_at = max(
                self._state.store_outage_at, self._state.store_failed_at
            )

    def read_seconds_since_outage(self) -> float | None:
        """Read the seconds since the last store outage; none: never seen."""
        seconds = read_clock_with_suspend() - self._state.store_outage_at
        return None if math.isinf(seconds) else round(seconds, 2)

    def _take_outage(self, daemon: DaemonId, ended_at: float) -> None:
        """Record a reported outage that ended before this daemon started.

        :param daemon: the daemon that reported the outage.
        :param ended_at: seconds of the clock that runs during suspension.
        """
        if max(self._state.store_outage_at, ended_at) > self._started_at:
            return
        # Daemons pass reported outages on to each other, and each message
        # adds its transit time.
        if ended_at < self._state.store_outage_at + FRESH_SECONDS:
            return
        LOGGER.info(
            'store outage reported by another daemon',
            extra={
                'by': daemon,
                'seconds_ago': read_clock_with_suspend() - ended_at,
            },
        )
        self._state.store_outage_at = ended_at

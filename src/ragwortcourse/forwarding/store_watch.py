"""Whether the store is away for the fleet, or for this daemon alone.

A daemon that can't reach the store may itself be cut off, and others go on.
Only where most registered daemons say that they can't reach it either, the
store itself is away.
"""

import logging
import math
from collections.abc import Collection
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import DaemonId

# Daemons tell each other more often than that.
FRESH_SECONDS: Final = 1.5
# Fewer can't tell an outage from a cut.
MIN_VOTING_DAEMONS: Final = 3
# More than the daemons of one failure domain that is cut off.
OUTAGE_QUORUM_SHARE: Final = 0.6


LOGGER: Final = logging.getLogger(__name__)


class StoreWatch:
    """What daemons say of their own way to the store."""

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._lost: dict[DaemonId, float] = {}
        self._heard: dict[DaemonId, float] = {}
        self._started_at = read_clock_with_suspend()

    def note_peer(
        self, daemon: DaemonId, *, lost: bool, stable_for: float | None
    ) -> None:
        """Take another daemon's word.

        :param lost: true while the store does not answer it.
        :param stable_for: seconds since it last saw the store away for the
            fleet; none: never.
        """
        now = read_clock_with_suspend()
        self._heard[daemon] = now
        if lost:
            self._lost[daemon] = now
        else:
            self._lost.pop(daemon, None)
        if stable_for is not None:
            self._take_outage(daemon, now - stable_for)

    def is_heard(self, daemon: DaemonId) -> bool:
        """Tell whether another daemon told anything of late."""
        heard_at = self._heard.get(daemon, -math.inf)
        return read_clock_with_suspend() - heard_at < FRESH_SECONDS

    def detect_outage(self, registered: Collection[DaemonId]) -> None:
        """Note an outage of the store for the fleet, if there is one.

        :param registered: every daemon, this one included.
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
                    'store is away for most daemons',
                    extra={'lost': others, 'registered': len(registered)},
                )
            self._state.store_outage_at = now

    def read_stable(self) -> float | None:
        """Seconds since the store was last away; none: never seen."""
        seconds = read_clock_with_suspend() - self._state.store_outage_at
        return None if math.isinf(seconds) else round(seconds, 2)

    def _take_outage(self, daemon: DaemonId, ended_at: float) -> None:
        """Learn of an outage that was over before this daemon started."""
        if max(self._state.store_outage_at, ended_at) > self._started_at:
            return
        # Daemons that tell each other what they were told add the way of
        # each message.
        if ended_at < self._state.store_outage_at + FRESH_SECONDS:
            return
        LOGGER.info(
            'outage of the store told by another daemon',
            extra={
                'by': daemon,
                'seconds_ago': read_clock_with_suspend() - ended_at,
            },
        )
        self._state.store_outage_at = ended_at

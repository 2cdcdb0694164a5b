"""Demand of the callers of one daemon on one service."""

import math
from typing import Final

from ragwortcourse.forwarding.scheduling.decaying_rate import DecayingRate
from ragwortcourse.forwarding.urgency import URGENCIES

# Slots kept for demand that has ended are given back after about two of
# these times.
RECENT_SECONDS: Final = 0.7
# One daemon gets only some requests of each urgency in a second. A rate that
# stands for all daemons is therefore measured over a longer time.
STEADY_SECONDS: Final = 4.0


class OwnDemand:
    """Rates at which requests arrive, by urgency."""

    def __init__(self) -> None:
        self._recent = _make_rates(RECENT_SECONDS)
        self._steady = _make_rates(STEADY_SECONDS)
        self._began_at: float | None = None

    def note_arrival(self, urgency: int, now: float) -> None:
        """Count a request that arrives in time."""
        if self._began_at is None:
            self._began_at = now
        self._recent[urgency].add(now)
        self._steady[urgency].add(now)

    def read_recent(self, now: float) -> list[float]:
        """Read the requests a second, the most urgent first."""
        return [rate.read(now) for rate in self._recent]

    def read_steady(self, now: float) -> list[float]:
        """Read the same over a longer time.

        A daemon that began of late has seen only a part of that time.
        """
        if self._began_at is None:
            return [0 for _ in self._steady]
        seen = max(now - self._began_at, RECENT_SECONDS)
        share = 1 - math.exp(-seen / STEADY_SECONDS)
        return [rate.read(now) / share for rate in self._steady]


def _make_rates(seconds: float) -> list[DecayingRate]:
    return [DecayingRate(seconds=seconds) for _ in range(URGENCIES)]

"""Slow start: the concurrency limit of one target."""

import logging
from collections.abc import Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.engines.engine import EngineSilent, EngineState

REPORT_MAX_AGE_SECONDS: Final = 3.0
LAST_HEARD_MAX_AGE_SECONDS: Final = 2.0
SLOW_FACTOR: Final = 4.0
SLOW_FLOOR_SECONDS: Final = 0.05
SLOW_ANSWERS_BEFORE_HALVING: Final = 3
LATENCY_SMOOTHING: Final = 0.05
SLOW_SMOOTHING: Final = 0.01
GROWTH_FACTOR_WITH_REPORTS: Final = 2.0
SHORTEST_WARM_SECONDS: Final = 0.001

LOGGER: Final = logging.getLogger(__name__)


class SlowStartLimit:
    """Concurrency limit that grows from cold to warm with clean answers.

    A clean answer given while more than half of the limit was in use raises
    the limit by the limit's reciprocal, so that a round of clean answers
    adds one permit. Any sign of a cold target resets the limit to the cold
    limit at once, and every third slow answer in a row halves the permits
    gained. If the engine reports no load, the limit also grows no faster
    than the configured warm-up time allows.

    :param read_limits: returns the cold and warm limits in force.
    """

    def __init__(self, *, read_limits: Callable[[], TargetLimits]) -> None:
        self._read_limits = read_limits
        self._gained_permits: float = 0
        self._instance: str | None = None
        self._reported_capacity: int | None = None
        self._capacity_reported_at: float = 0
        self._reports_load = False
        self._last_heard_at: float = 0
        self._latency: float | None = None
        self._slow_in_a_row = 0
        self._silent = False
        self._used_since: float | None = None

    @property
    def instance(self) -> str | None:
        """Engine instance that the limit applies to; none if not yet known."""
        return self._instance

    def read(self) -> int:
        """Return the number of permits in force."""
        limits = self._read_limits()
        cold = min(limits.cold, limits.warm)
        limit = cold
        if self._is_evidence_fresh():
            limit = min(int(cold + self._gained_permits), limits.warm)
        if self._reported_capacity is not None:
            # One permit remains as a probe for an engine without capacity.
            limit = min(limit, max(self._reported_capacity, 1))
        return limit

    def note_latency(self, latency: float) -> None:
        """Adjust the limit to the first-byte latency of a clean answer.

        :param latency: seconds to the first byte.
        """
        if not self._is_slow(latency):
            self._slow_in_a_row = 0
            return
        self._slow_in_a_row += 1
        if self._slow_in_a_row % SLOW_ANSWERS_BEFORE_HALVING == 0:
            self._gained_permits /= 2
            self._restart_pace()

    def note_answer(self, running: int) -> None:
        """Raise the limit after a clean answer has ended.

        :param running: permits in use when the answer ended, its own
            included.
        """
        self._last_heard_at = read_clock()
        if self._used_since is None:
            self._used_since = read_clock()
        if self._slow_in_a_row:
            return
        limit = self.read()
        # Faster growth is safe with reports: the reported capacity caps the
        # limit.
        growth = (
            1 if self._reported_capacity is None else GROWTH_FACTOR_WITH_REPORTS
        )
        if running * 2 > limit and not self._silent:
            self._gained_permits += growth / max(limit, 1)
            self._clamp_gained_permits()

    def note_state(self, state: EngineState | EngineSilent) -> None:
        """Apply the engine's state; an older load report is ignored.

        A silent engine may be restarting, and starts cold. The permits gained
        are lost unless the same instance soon reports what it can take.
        """
        self._reset_if_unheard()
        if isinstance(state, EngineSilent):
            if not self._reports_load:
                self.reset_to_cold('silent')
            self._silent = True
            return
        if self._silent and state.bearable is None:
            self.reset_to_cold('silent')
        self._silent = False
        self._last_heard_at = read_clock()
        self.note_instance(state.instance)
        if state.bearable is None:
            self._reported_capacity = None
            return
        self._reports_load = True
        made_at = read_clock() - state.age
        if made_at >= self._capacity_reported_at:
            self._reported_capacity = state.bearable
            self._capacity_reported_at = made_at
            self._clamp_gained_permits()

    def note_instance(self, instance: str) -> None:
        """Record the instance that answers; a new instance starts cold."""
        if instance == self._instance:
            return
        if self._instance is not None:
            self.reset_to_cold('instance')
            # The capacity of the previous instance does not apply.
            self._reported_capacity = None
        self._instance = instance

    def reset_to_cold(self, reason: str) -> None:
        """Reset to the cold limit until new clean answers arrive."""
        self._slow_in_a_row = 0
        self._latency = None
        self._used_since = None
        if self._gained_permits:
            LOGGER.info('target limit reset to cold', extra={'reason': reason})
        self._gained_permits = 0

    def _is_evidence_fresh(self) -> bool:
        if self._reset_if_unheard() or self._silent:
            return False
        now = read_clock()
        reported_ago = now - self._capacity_reported_at
        if self._reports_load and reported_ago > REPORT_MAX_AGE_SECONDS:
            self.reset_to_cold('reports stopped')
            return False
        return True

    def _reset_if_unheard(self) -> bool:
        """Reset to the cold limit after a long silence; return whether."""
        silence = read_clock() - self._last_heard_at
        if silence <= LAST_HEARD_MAX_AGE_SECONDS:
            return False
        self.reset_to_cold('no sign')
        return True

    def _is_slow(self, latency: float) -> bool:
        if self._latency is None:
            self._latency = latency
            return False
        slowest = max(self._latency * SLOW_FACTOR, SLOW_FLOOR_SECONDS)
        if latency <= slowest:
            self._latency += LATENCY_SMOOTHING * (latency - self._latency)
            return False
        # The average adapts to a lasting change, but not within a few
        # answers.
        self._latency += SLOW_SMOOTHING * (slowest - self._latency)
        return True

    def _clamp_gained_permits(self) -> None:
        limits = self._read_limits()
        highest = float(limits.warm)
        if self._reported_capacity is None:
            highest = min(
                highest, limits.cold + self._read_paced_permits(limits)
            )
        else:
            highest = min(highest, self._reported_capacity)
        self._gained_permits = max(
            min(self._gained_permits, highest - limits.cold), 0
        )

    def _restart_pace(self) -> None:
        """Restart paced growth from the permits that are left after halving."""
        limits = self._read_limits()
        share = self._gained_permits / max(limits.warm - limits.cold, 1)
        self._used_since = read_clock() - share * limits.warm_seconds

    def _read_paced_permits(self, limits: TargetLimits) -> float:
        if self._used_since is None:
            return 0
        used = read_clock() - self._used_since
        share = used / max(limits.warm_seconds, SHORTEST_WARM_SECONDS)
        return share * (limits.warm - limits.cold)

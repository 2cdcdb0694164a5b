"""Outlier ejection of failing targets, with a slow start on their return."""

import dataclasses
import random
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.target_record import TargetRecord

FAILURES_TO_EJECT: Final = 3
BASE_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0
MAX_SLOW_START_LIMIT: Final = 16
# Bounds memory, as targets come and go; the target whose last failure is
# oldest is evicted first.
TARGETS_LIMIT: Final = 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class OutlierState:
    """Recent outcomes of one target.

    :param failures: consecutive failures.
    :param ejections: ejections since the target last recovered.
    :param slow_start_limit: limit of concurrent requests during the slow
        start; zero for no limit.
    """

    failures: int = 0
    ejections: int = 0
    slow_start_limit: int = 0


class OutlierDetector:
    """Ejects targets after consecutive failures of their attempts."""

    def __init__(self) -> None:
        self._states: dict[TargetName, OutlierState] = {}

    def record_success(self, target: TargetName) -> None:
        """Count a success; each success doubles the limit of a slow start."""
        state = self._states.get(target)
        if state is None:
            return
        state.failures = 0
        state.slow_start_limit *= 2
        if (
            not state.slow_start_limit
            or state.slow_start_limit > MAX_SLOW_START_LIMIT
        ):
            self._states.pop(target)

    def record_failure(self, record: TargetRecord, rng: random.Random) -> None:
        """Count a failure, and eject the target after too many in a row.

        During the slow start, one failure ejects the target. The ejection
        time doubles with each ejection and is jittered.
        """
        state = self._states.pop(record.target, None) or OutlierState()
        self._states[record.target] = state
        if len(self._states) > TARGETS_LIMIT:
            self._states.pop(next(iter(self._states)))
        state.failures += 1
        if state.slow_start_limit or state.failures >= FAILURES_TO_EJECT:
            longest = min(
                MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**state.ejections
            )
            seconds = rng.uniform(longest / 2, longest)
            record.ejected_until = read_clock() + seconds
            state.ejections += 1
            state.slow_start_limit = 1

    def is_full(self, record: TargetRecord) -> bool:
        """Tell whether a target has reached the limit of its slow start."""
        state = self._states.get(record.target)
        if state is None or not state.slow_start_limit:
            return False
        return record.in_flight >= state.slow_start_limit

"""Targets taken out by their own outcomes and let back by a trickle."""

import dataclasses
import random
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import TargetName
from ragwortcourse.membership.target_record import TargetRecord

FAILURES_TO_EJECT: Final = 3
FIRST_OUT_SECONDS: Final = 1.0
LONGEST_OUT_SECONDS: Final = 30.0
TRIAL_LIMIT: Final = 16
# Targets come and go; those that failed longest ago are forgotten.
TARGETS_LIMIT: Final = 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class OutlierState:
    """How one target has done of late.

    :param failures: bad outcomes in a row.
    :param ejections: times it was taken out in a row.
    :param trial: requests at once it may have; zero for no bound.
    """

    failures: int = 0
    ejections: int = 0
    trial: int = 0


class OutlierDetector:
    """Judges targets by what became of the work sent there."""

    def __init__(self) -> None:
        self._standings: dict[TargetName, OutlierState] = {}

    def note_good(self, target: TargetName) -> None:
        """Count a good outcome; each one doubles what a trial may take."""
        standing = self._standings.get(target)
        if standing is None:
            return
        standing.failures = 0
        standing.trial *= 2
        if not standing.trial or standing.trial > TRIAL_LIMIT:
            self._standings.pop(target)

    def note_bad(self, record: TargetRecord, rng: random.Random) -> None:
        """Count a bad outcome; too many in a row take the target out."""
        standing = self._standings.pop(record.target, None) or OutlierState()
        self._standings[record.target] = standing
        if len(self._standings) > TARGETS_LIMIT:
            self._standings.pop(next(iter(self._standings)))
        standing.failures += 1
        if standing.trial or standing.failures >= FAILURES_TO_EJECT:
            longest = min(
                LONGEST_OUT_SECONDS, FIRST_OUT_SECONDS * 2**standing.ejections
            )
            seconds = rng.uniform(longest / 2, longest)
            record.ejected_until = read_clock() + seconds
            standing.ejections += 1
            standing.trial = 1

    def is_full(self, record: TargetRecord) -> bool:
        """Tell whether a target on trial has all it may take."""
        standing = self._standings.get(record.target)
        if standing is None or not standing.trial:
            return False
        return record.in_flight >= standing.trial

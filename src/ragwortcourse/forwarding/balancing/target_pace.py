"""Pace of one target as believed by one daemon.

Load pattern: a target is slow for some hundred milliseconds at a time. Its
answers tell so rarely, and the reports of other daemons arrive late.
"""

import dataclasses
import math
from typing import Final

from ragwortcourse.forwarding.balancing.pace_mean import USUAL_PACE, PaceMean

# A machine keeps its pace for about this long; observed: 0.6 s. A report says
# nothing about the time after it.
HOLD_SECONDS: Final = 0.6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceEstimate:
    """Estimate of a pace, as multiples of the usual time.

    :param pace: expected value.
    :param spread: standard deviation.
    """

    pace: float
    spread: float

    @property
    def cautious(self) -> float:
        """Pace that is seldom exceeded."""
        return self.pace + self.spread


# Of targets that report no pace.
UNKNOWN_PACE: Final = PaceEstimate(pace=USUAL_PACE, spread=0)


class TargetPace:
    """Last reported and long-run pace of one incarnation of a target.

    ``last`` is the newest report of the target to any daemon, and ``last_at``
    its time.

    :param born: start time of the incarnation.
    :param fleet: long-run pace of all targets.
    """

    def __init__(self, *, born: int, fleet: PaceMean) -> None:
        self.born = born
        self.last = USUAL_PACE
        self.last_at = -math.inf
        self._long_run = PaceMean(fleet)

    def note_report(self, pace: float, now: float) -> None:
        """Note a report of the target to this daemon."""
        self._long_run.note(pace, now)
        self.note_news(pace, now)

    def note_news(self, pace: float, at: float) -> None:
        """Note a report of the target to any daemon, unless it is outdated.

        It does not change the long-run pace, as daemons pass on only what is
        out of the ordinary.
        """
        if at >= self.last_at:
            self.last = pace
            self.last_at = at

    def estimate(self, now: float) -> PaceEstimate:
        """Estimate the pace, which tends to the long-run one with age."""
        held = self.weigh_last(now)
        mean = self._long_run.mean
        return PaceEstimate(
            pace=mean + held * (self.last - mean),
            spread=math.sqrt(self._long_run.variance * (1 - held**2)),
        )

    def weigh_last(self, now: float) -> float:
        """Compute the chance that the last report still holds."""
        return min(max(1 - (now - self.last_at) / HOLD_SECONDS, 0), 1)

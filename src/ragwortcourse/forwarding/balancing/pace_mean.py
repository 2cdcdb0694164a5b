"""Long-run mean and variance of a pace.

Load pattern: a machine is slow for a share of the time, which changes over
minutes as its other workloads do.
"""

import math
from typing import Final

# Reports count less by a factor of e after this time.
MEMORY_SECONDS: Final = 60.0
# The mean of all targets counts as much as this many reports of one target:
# fewer reports say little of how often its machine is slow.
PRIOR_REPORTS: Final = 20.0
# Pace of a target of which nothing is known, as a multiple of the usual time.
USUAL_PACE: Final[float] = 1


class PaceMean:
    """Mean and variance of the reported paces of one target, or of all.

    :param prior: mean that counts while there are few reports; none: the usual
        pace, without variance.
    """

    def __init__(self, prior: 'PaceMean | None' = None) -> None:
        self._prior = prior
        self._reports: float = 0
        self._sum: float = 0
        self._squares: float = 0
        self._noted_at: float = 0

    @property
    def mean(self) -> float:
        """Mean pace, as a multiple of the usual time."""
        prior = USUAL_PACE if self._prior is None else self._prior.mean
        return self._blend(prior, self._sum)

    @property
    def mean_square(self) -> float:
        """Mean of the squares of the pace."""
        prior = USUAL_PACE if self._prior is None else self._prior.mean_square
        return self._blend(prior, self._squares)

    @property
    def variance(self) -> float:
        """Variance of the pace."""
        return max(self.mean_square - self.mean**2, 0)

    def note(self, pace: float, now: float) -> None:
        """Note a reported pace.

        :param now: monotonic seconds.
        """
        fading = math.exp((self._noted_at - now) / MEMORY_SECONDS)
        self._noted_at = now
        self._reports = self._reports * fading + 1
        self._sum = self._sum * fading + pace
        self._squares = self._squares * fading + pace**2

    def _blend(self, prior: float, total: float) -> float:
        return (prior * PRIOR_REPORTS + total) / (PRIOR_REPORTS + self._reports)

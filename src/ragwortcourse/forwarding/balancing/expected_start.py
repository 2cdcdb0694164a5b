"""Expected times of a request at a target.

Load pattern: targets share their machines with other workloads, so that the
same load means other times at each target and at each moment. Seconds compare
such targets, shares of their slots do not.
"""

import dataclasses

from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    estimate_pass_seconds,
    estimate_start_seconds,
    estimate_wait,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedStart:
    """Expected times of a request at a target, in seconds.

    :param wait: until a slot is free.
    :param start: from there to the first event of the answer.
    :param pause: between two events of the answer.
    """

    wait: float
    start: float
    pause: float

    @property
    def total(self) -> float:
        """Seconds from now to the first event of the answer."""
        return self.wait + self.start


def estimate_start(place: TargetOccupancy, demand: Demand) -> ExpectedStart:
    """Estimate the times of a request that is sent to a target now.

    The pause is zero for plain services, which answer at once.
    """
    engine = place.engine
    return ExpectedStart(
        wait=estimate_wait(place),
        start=estimate_start_seconds(place, demand),
        pause=0 if engine is None else estimate_pass_seconds(place, engine),
    )

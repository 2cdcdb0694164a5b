"""Choice of the cheapest target from a few random candidates.

Load pattern: many daemons, each with incomplete knowledge of the load,
distribute bursts over the engines of one service while some engines fail or
stop answering.
"""

import dataclasses
import enum
import random
from collections.abc import Sequence
from typing import Final

from ragwortcourse.forwarding.target import Target

# Costs are shares of the slots of a target: a cost of 0.5 weighs as much as
# half of the slots in use.
NO_COST: Final[float] = 0
DOMAIN_COST: Final = 0.03
REGION_COST: Final = 0.06
FAILURE_COST: Final = 0.5
# One unprocessed prompt delays a start as much as a quarter of the slots in
# use.
UNANSWERED_COST: Final = 0.25
# Jitter, so that daemons with the same view of the load do not all choose the
# same target.
CHANCE_COST: Final = 0.15
# A moved request should not be moved again by a change of weights.
CHANGING_COST: Final = 0.6
SILENCE_COST: Final = 4.0
# A target that names a limit is in need; others are preferred until half of
# their slots are in use.
LIMITED_COST: Final = 0.5
# Slow start: a target that takes requests again looks empty to all daemons at
# once. The target counts as half full at first, about the number of requests
# that it begins in the slow start time.
SLOW_START_COST: Final = 0.5
SLOW_START_SECONDS: Final = 1.0
# Random candidates for one request: loads of other daemons are known some
# hundred milliseconds late, so not all daemons may choose the target that
# looks best.
SAMPLED_TARGETS: Final = 3


class Distance(enum.IntEnum):
    """Distance between a target and the daemon."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


DISTANCE_COSTS: Final = {
    Distance.SAME_DOMAIN: NO_COST,
    Distance.SAME_REGION: DOMAIN_COST,
    Distance.OTHER_REGION: REGION_COST,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target that may take a request.

    :param load: estimated number of requests at the target.
    :param unanswered: requests of ``load`` without an answer yet.
    :param failure_score: recent failures, the older ones counting less.
    :param changing: true if the weights of the target will change soon.
    :param limited: true if the target names a limit on its requests.
    :param silent: true if the target owes answers and sends nothing.
    :param seconds_available: seconds since the target last began to take
        requests.
    """

    target: Target
    load: float
    distance: Distance
    unanswered: float = 0
    failure_score: float = 0
    changing: bool = False
    limited: bool = False
    silent: bool = False
    seconds_available: float = SLOW_START_SECONDS

    @property
    def cost(self) -> float:
        """Load as a share of the slots, plus all penalties."""
        return (
            self.load / max(self.target.slots, 1)
            + self.unanswered * UNANSWERED_COST
            + DISTANCE_COSTS[self.distance]
            + self.penalty
        )

    @property
    def penalty(self) -> float:
        """Penalties for the state of the target, as a share of its slots."""
        return (
            self.failure_score * FAILURE_COST
            + self.changing * CHANGING_COST
            + self.limited * LIMITED_COST
            + self.silent * SILENCE_COST
            + max(1 - self.seconds_available / SLOW_START_SECONDS, 0)
            * SLOW_START_COST
        )


def choose_candidate(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the cheapest of some random candidates, with jitter."""
    if not candidates:
        return None
    looked_at = rng.sample(candidates, min(SAMPLED_TARGETS, len(candidates)))
    return min(
        looked_at, key=lambda each: each.cost + rng.random() * CHANCE_COST
    )

"""Which target a request goes to.

Load pattern: many daemons, none of which knows all load, spread bursts over
engines of one service while some of them fail or fall silent.
"""

import dataclasses
import enum
import random
from collections.abc import Sequence
from typing import Final

from ragwortcourse.forwarding.target import Target

# Shares of a target's slots that a longer way, or a failure, outweighs.
NO_COST: Final[float] = 0
DOMAIN_COST: Final = 0.03
REGION_COST: Final = 0.06
TROUBLE_COST: Final = 0.5
# One prompt that is still unread holds up a start as much as a quarter of
# the slots in use.
STARTING_COST: Final = 0.25
# Daemons that see the same loads must not all choose the same target.
CHANCE_COST: Final = 0.15
# A request that was moved once should not be moved again.
CHANGING_COST: Final = 0.6
SILENCE_COST: Final = 4.0
# A target that takes work again looks empty to all daemons at once. It counts
# as half full at first: about as many requests as it begins in this time.
SLOW_START_COST: Final = 0.5
SLOW_START_SECONDS: Final = 1.0
# Targets looked at for one request: news of loads is some hundred
# milliseconds old, and what looks best to all must not be chosen by all.
SAMPLED_TARGETS: Final = 3


class Distance(enum.IntEnum):
    """How far a target is from the daemon."""

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

    :param load: requests believed to be there.
    :param unanswered: those of them that have no answer yet.
    :param failure_score: failures of late.
    :param changing: true where its weights are to change soon.
    :param silent: true where it owes answers and sends nothing.
    :param seconds_available: seconds since it last began to take work.
    """

    target: Target
    load: float
    distance: Distance
    unanswered: float = 0
    failure_score: float = 0
    changing: bool = False
    silent: bool = False
    seconds_available: float = SLOW_START_SECONDS

    @property
    def cost(self) -> float:
        """Load in shares of the slots, and what else speaks against it."""
        return (
            self.load / max(self.target.slots, 1)
            + self.unanswered * STARTING_COST
            + DISTANCE_COSTS[self.distance]
            + self.failure_score * TROUBLE_COST
            + self.changing * CHANGING_COST
            + self.silent * SILENCE_COST
            + max(1 - self.seconds_available / SLOW_START_SECONDS, 0)
            * SLOW_START_COST
        )


def choose_candidate(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """The cheapest of some candidates; nearly equal ones by chance."""
    if not candidates:
        return None
    looked_at = rng.sample(candidates, min(SAMPLED_TARGETS, len(candidates)))
    return min(
        looked_at, key=lambda each: each.cost + rng.random() * CHANCE_COST
    )

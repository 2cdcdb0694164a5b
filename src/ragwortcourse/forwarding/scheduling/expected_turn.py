"""Expected wait of a request at the daemon.

Load pattern: more requests wait at all daemons than the targets begin while
it is of use. Holding a request and then refusing it is worse for its caller
than a refusal at once, so it waits only if it is expected to be sent in time.
"""

import math
from collections.abc import Sequence
from typing import Final

from ragwortcourse.forwarding.admission import (
    TargetOccupancy,
    estimate_slot_interval,
)
from ragwortcourse.forwarding.scheduling.guaranteed_share import (
    GUARANTEED_SHARE,
)

# Share of the estimated capacity that waiting requests may count on.
SURE_SHARE: Final = 0.95
# Seconds between two completions at a target, at least.
SHORTEST_INTERVAL: Final = 0.001


def estimate_capacity(place: TargetOccupancy, slots: int) -> float:
    """Estimate the requests a second that all targets can begin.

    :param place: one of the targets.
    :param slots: slots of all targets.
    """
    interval = max(estimate_slot_interval(place), SHORTEST_INTERVAL)
    return slots / max(place.slots, 1) / interval * SURE_SHARE


def estimate_turn(
    *,
    capacity: float,
    rates: Sequence[float],
    urgency: int,
    waiting: Sequence[float],
) -> float:
    """Estimate the seconds until a request at the end of a queue is sent.

    More urgent arrivals are sent before it, and so is what is guaranteed to
    less urgent ones.

    :param capacity: requests a second that all targets can begin.
    :param rates: arrivals a second by urgency, at all daemons.
    :param urgency: of the request.
    :param waiting: waiting requests by urgency, at all daemons.
    """
    served = min(capacity / max(sum(rates), 1), 1)
    guaranteed = sum(rates[urgency + 1 :]) * GUARANTEED_SHARE * served
    left = capacity - sum(rates[:urgency]) - guaranteed
    if left <= 0:
        return math.inf
    return (sum(waiting[: urgency + 1]) + 1) / left

"""Cost of a target for one request, in seconds.

Load pattern: callers of one failure domain send more than the others, and
targets are slow at times. A target elsewhere is worth its way as soon as the
wait at the near ones is longer.
"""

import dataclasses
import math
from typing import Final

from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    estimate_slot_interval,
)
from ragwortcourse.forwarding.balancing.description import Found
from ragwortcourse.forwarding.balancing.expected_start import estimate_start
from ragwortcourse.forwarding.placement import Distance

# Way to a target and back for the connection and for the request: four times
# the transit time of a link of 1.4 to 5.4 ms.
LINK_SECONDS: Final = {
    Distance.SAME_DOMAIN: 0,
    Distance.SAME_REGION: 0.012,
    Distance.OTHER_REGION: 0.016,
}
# Bytes between regions are priced. They count as the time that they take on
# the narrowest link between two regions, of 11.5 Mbit/s.
REGION_BYTES_PER_SECOND: Final = 1_437_500.0
# Events carry some tokens and their framing.
BYTES_PER_TOKEN: Final = 40.0
# Penalties are stated as shares of the slots. With all slots in use, the
# prompts before a request and a full pass delay it by about as much.
SECONDS_PER_SHARE: Final = 0.25
# A stream that is late by its pauses is worth about as little as one whose
# start is late by half a second.
LONG_PAUSE_SECONDS: Final = 0.5
# The requests of most other daemons are known this late.
NEWS_SECONDS: Final = 0.25
# Between two free slots of a target without known speeds.
MIN_INTERVAL: Final = 0.001
# Standard deviation of a logistic distribution of scale one.
LOGISTIC_DEVIATION: Final = math.pi / math.sqrt(3)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transfer:
    """What a request asks of the links and of its target's passes.

    :param request_bytes: bytes of the body.
    :param answer_tokens: expected tokens of the answer.
    :param longest_gap: seconds between two events within which a stream is on
        time; zero if the route has no streams.
    """

    request_bytes: int
    answer_tokens: float
    longest_gap: float


def compute_cost(found: Found, demand: Demand, transfer: Transfer) -> float:
    """Compute the expected seconds to the first event, plus all penalties."""
    candidate, place = found.candidate, found.place
    expected = estimate_start(place, demand)
    cost = (
        estimate_uncertain_wait(place)
        + expected.start
        + LINK_SECONDS[candidate.distance]
        + candidate.penalty * SECONDS_PER_SHARE
    )
    if candidate.distance is Distance.OTHER_REGION:
        sent = transfer.request_bytes + transfer.answer_tokens * BYTES_PER_TOKEN
        cost += sent / REGION_BYTES_PER_SECOND
    pause = expected.pause * max(found.cautious_pace / place.pace, 1)
    if 0 < transfer.longest_gap < pause:
        cost += LONG_PAUSE_SECONDS
    return cost


def estimate_uncertain_wait(place: TargetOccupancy) -> float:
    """Estimate the mean wait for a slot, where the load is known late.

    Others have sent requests that are not known yet, and slots became free. A
    target with its last slot free is therefore a bad choice.
    """
    interval = estimate_slot_interval(place)
    # As many requests come as go: the deviation of both, without a relation.
    deviation = math.sqrt(2 * NEWS_SECONDS / max(interval, MIN_INTERVAL))
    scale = deviation / LOGISTIC_DEVIATION
    ahead = (place.load + 1 - place.slots) / scale
    return scale * _soften(ahead) * interval


def _soften(amount: float) -> float:
    """Compute the mean of what is above zero, of a logistic distribution."""
    return max(amount, 0) + math.log1p(math.exp(-abs(amount)))

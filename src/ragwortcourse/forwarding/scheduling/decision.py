"""Decision to send a request of some urgency to the best target now.

Load pattern: the targets are full of requests of several priorities. Targets
start the more urgent of their waiting requests first, so an urgent request is
delayed only by requests that are at least as urgent, while a less urgent one
takes only a slot that no urgent one will need.
"""

import dataclasses
from typing import Final

from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    is_admitted,
)

# Part of the prompts of begun requests that a full target still has to
# process when its next slot is free.
UNREAD_SHARE: Final = 0.5
# Requests at a target at most, as a multiple of its slots: targets decline
# what exceeds their queue, and that counts as a retry.
MOST_LOAD: Final = 2


def narrow_occupancy(place: TargetOccupancy, urgent: float) -> TargetOccupancy:
    """Leave out the waiting requests that a request will overtake.

    A target starts the most urgent first: those that it has begun are taken
    to be the most urgent without an answer, the least urgent to be waiting.
    At a full target, half of the prompts of those that it has begun are
    processed by the time at which a slot is free.

    :param urgent: requests without an answer that are at least as urgent.
    """
    if place.load < place.slots or urgent >= place.unanswered:
        # None waits, or none is less urgent.
        return place
    waiting = place.load - place.slots
    begun = max(place.unanswered - waiting, 0)
    ahead = min(max(urgent - begun, 0), waiting)
    return dataclasses.replace(
        place,
        load=place.load - waiting + ahead,
        unanswered=ahead + begun * UNREAD_SHARE,
    )


def is_sent_now(
    place: TargetOccupancy,
    demand: Demand,
    *,
    urgent: float,
    reserved: int,
) -> bool:
    """Tell whether a request should be sent now.

    :param place: the best target for it.
    :param urgent: requests without an answer at the target that are at least
        as urgent.
    :param reserved: slots that it has to leave free.
    """
    if place.load + 1 > max(place.slots, 1) * MOST_LOAD:
        return False
    if reserved and place.load + 1 > place.slots - reserved:
        return False
    return is_admitted(narrow_occupancy(place, urgent), demand)

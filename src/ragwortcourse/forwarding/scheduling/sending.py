"""Whether a request is sent to its best target now."""

from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    estimate_slot_interval,
    is_admitted,
)
from ragwortcourse.forwarding.call import PermittedCall
from ragwortcourse.forwarding.scheduling.decision import is_sent_now
from ragwortcourse.forwarding.scheduling.reservation import count_reserved
from ragwortcourse.forwarding.scheduling.scheduling import (
    Scheduling,
    list_kinds,
)
from ragwortcourse.forwarding.scheduling.urgent_counts import (
    COUNTED_URGENCIES,
)
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.urgency import URGENCIES, read_urgency

# Requests a second of all daemons below which there are none to overtake.
NO_RATE: Final = 0.5


def may_send(
    scheduling: Scheduling,
    work: PermittedCall,
    target: Target,
    place: TargetOccupancy,
    demand: Demand,
) -> bool:
    """Tell whether a request is sent to its best target now.

    :param place: occupancy of the target.
    """
    known = scheduling.find(target.service)
    if known is None:
        return is_admitted(place, demand)
    urgency = read_urgency(route=work.route, account=work.account)
    if demand.time_left <= 0:
        # A late request leaves room for all that are in time.
        urgency = URGENCIES
    less_urgent = sum(scheduling.read_rates(target.service)[urgency + 1 :])
    is_due = urgency < URGENCIES and known.shares.is_due(list_kinds(work))
    is_sent = is_sent_now(
        place,
        demand,
        urgent=(
            scheduling.unanswered.estimate(target.name, urgency, read_clock())
            if urgency < COUNTED_URGENCIES and less_urgent > NO_RATE
            else place.unanswered
        ),
        reserved=(
            0 if is_due else reserve_slots(scheduling, target, place, urgency)
        ),
    )
    if not is_sent:
        known.place = place
    return is_sent


def reserve_slots(
    scheduling: Scheduling,
    target: Target,
    place: TargetOccupancy,
    urgency: int,
) -> int:
    """Count the slots of a target that are kept for more urgent requests.

    :param urgency: of the request that leaves them free.
    """
    service = target.service
    slots = scheduling.count_slots(service)
    share = place.slots / max(slots, place.slots, 1)
    reserved = count_reserved(
        rates=[rate * share for rate in scheduling.read_rates(service)],
        urgency=urgency,
        slots=place.slots,
        slot_interval=estimate_slot_interval(place),
        is_unheard=scheduling.is_unheard(service),
    )
    scheduling.note_reserved(service, reserved)
    return reserved

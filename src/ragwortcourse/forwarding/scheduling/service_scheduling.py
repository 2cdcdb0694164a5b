"""What one daemon knows of the requests for one service."""

import dataclasses

from ragwortcourse.forwarding.admission import TargetOccupancy
from ragwortcourse.forwarding.scheduling.guaranteed_share import (
    GuaranteedShare,
)
from ragwortcourse.forwarding.scheduling.own_demand import OwnDemand
from ragwortcourse.forwarding.scheduling.wait_confidence import (
    WaitConfidence,
)
from ragwortcourse.forwarding.scheduling.waiting_queue import WaitingQueue


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceScheduling:
    """Own demand on a service, its guaranteed shares and waiting requests.

    :param place: the last target that was best for a request and had no room.
    :param slots: slots of all targets of the service.
    :param counted_at: monotonic seconds at which the slots were counted.
    :param reserved: slots of a target that were last kept for more urgent
        requests.
    :param reserved_at: monotonic seconds at which any were last kept.
    """

    demand: OwnDemand = dataclasses.field(default_factory=OwnDemand)
    shares: GuaranteedShare = dataclasses.field(default_factory=GuaranteedShare)
    queue: WaitingQueue = dataclasses.field(default_factory=WaitingQueue)
    confidence: WaitConfidence = dataclasses.field(
        default_factory=WaitConfidence
    )
    place: TargetOccupancy | None = None
    slots: int = 0
    counted_at: float | None = None
    reserved: int = 0
    reserved_at: float | None = None

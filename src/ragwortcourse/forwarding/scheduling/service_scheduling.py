"""What one daemon measures of the requests for one service."""

import dataclasses

from ragwortcourse.forwarding.scheduling.guaranteed_share import (
    GuaranteedShare,
)
from ragwortcourse.forwarding.scheduling.own_demand import OwnDemand


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceScheduling:
    """Own demand on a service, and guaranteed shares of its requests.

    :param slots: slots of all targets of the service.
    :param counted_at: monotonic seconds at which the slots were counted.
    :param reserved: slots of a target that were last kept for more urgent
        requests.
    :param reserved_at: monotonic seconds at which any were last kept.
    """

    demand: OwnDemand = dataclasses.field(default_factory=OwnDemand)
    shares: GuaranteedShare = dataclasses.field(default_factory=GuaranteedShare)
    slots: int = 0
    counted_at: float | None = None
    reserved: int = 0
    reserved_at: float | None = None

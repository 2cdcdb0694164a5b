"""State of one target as known to an entry daemon."""

import dataclasses

from ragwortcourse.identifiers import (
    DeploymentName,
    FailureDomainName,
    RegionName,
    TargetName,
)
from ragwortcourse.messages.target_status import TargetStatus


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetRecord:
    """Known state of one target, which may be out of date.

    The admission control of the target has the final decision.


    :param address: ``ip:port`` of the agent.
    :param status: newest status from the agent; none before the first status,
        after too many missed heartbeats and after a change of the address.
    :param status_at: monotonic seconds of ``status``.
    :param last_heard_at: monotonic seconds of the newest answer to a
        heartbeat or request.
    :param spare: free permits according to the newest answer.
    :param latency: smoothed round trip to the agent in seconds.
    :param leaving: true once any source reported a planned stop.
    :param ejected_until: monotonic seconds at which the outlier ejection
        ends.
    :param in_flight: requests of this daemon in progress at the target.
    """

    target: TargetName
    deployment: DeploymentName
    failure_domain: FailureDomainName
    region: RegionName
    address: str
    status: TargetStatus | None = None
    status_at: float = 0
    last_heard_at: float = 0
    spare: int = 1
    latency: float = 0
    leaving: bool = False
    ejected_until: float = 0
    in_flight: int = 0

"""What an entry daemon believes of one target."""

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
    """One target; a belief, which the gate corrects.

    :param address: ``ip:port`` of its agent.
    :param status: newest status its agent gave; none before the first.
    :param status_at: monotonic seconds of that status.
    :param last_heard_at: monotonic seconds of the newest direct sign of any
        kind.
    :param spare: permits left by the newest sign.
    :param latency: smoothed seconds of a round trip to the agent.
    :param leaving: true once any source said so.
    :param ejected_until: monotonic seconds until which its outcomes keep it
        out.
    :param in_flight: requests of this daemon there now.
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

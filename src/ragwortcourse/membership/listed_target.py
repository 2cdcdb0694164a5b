"""A target from the settings or the platform's list of hosts."""

import dataclasses

from ragwortcourse.identifiers import (
    DeploymentName,
    FailureDomainName,
    RegionName,
    TargetName,
)
from ragwortcourse.membership.hosts import HostRecord, HostRole, HostState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedTarget:
    """One target and the address of its agent.

    :param address: ``ip:port`` of the agent.
    :param leaving: true if the list reports a planned stop.
    """

    target: TargetName
    deployment: DeploymentName
    failure_domain: FailureDomainName
    region: RegionName
    address: str
    leaving: bool


def build_listed_target(record: HostRecord) -> ListedTarget | None:
    """Build the target of a host's record; none for entry daemons."""
    if record.role is not HostRole.AGENT:
        return None
    if record.target is None or record.deployment is None:
        return None
    return ListedTarget(
        target=record.target,
        deployment=record.deployment,
        failure_domain=record.failure_domain,
        region=record.region,
        address=record.address,
        leaving=record.state is HostState.LEAVING,
    )

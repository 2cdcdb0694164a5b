"""What one daemon believes of the fleet."""

import dataclasses
import math
import time

from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.domain_reach import DomainReach
from ragwortcourse.forwarding.named_weights import NamedWeights
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import FailureDomainName, ModelName, TargetName


def read_boot_clock() -> float:
    """Seconds since the host started, time in suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetState:
    """Desired state, targets, withdrawals and versions as last read.

    :param desired: none until one was read.
    :param confirmed_at: boot clock at which the store was last asked and
        then said that there is nothing newer.
    :param weights: versions named for each model, the newest last.
    :param versions_complete_since: elapsed seconds from which on no version
        is missing in ``weights``; infinite until the operators' rows were
        read.
    :param store_lost: true while calls to the store fail one after the
        other.
    :param store_outage_at: elapsed seconds at which the store was last away
        for most daemons; bounds on versions count anew from then.
    :param targets_known: true once the list of targets was read.
    :param reach: failure domains that requests could not be sent to.
    """

    desired: DesiredState | None = None
    confirmed_at: float = 0
    withdrawn: frozenset[FailureDomainName] = frozenset()
    weights: dict[ModelName, tuple[NamedWeights, ...]] = dataclasses.field(
        default_factory=dict
    )
    versions_complete_since: float = math.inf
    targets: dict[TargetName, Target] = dataclasses.field(default_factory=dict)
    targets_known: bool = False
    store_lost: bool = False
    store_outage_at: float = -math.inf
    reach: DomainReach = dataclasses.field(default_factory=DomainReach)

    def read_age(self) -> float:
        """Seconds since the desired state was confirmed as the newest."""
        return read_boot_clock() - self.confirmed_at

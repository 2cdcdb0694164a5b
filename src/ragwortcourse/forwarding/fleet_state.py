"""State of the fleet as last read by one daemon."""

import dataclasses
import math
import time

from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.domain_reach import DomainReach
from ragwortcourse.forwarding.freshness.peer_versions import PeerVersions
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_departures import TargetDepartures
from ragwortcourse.identifiers import FailureDomainName, ModelName, TargetName
from ragwortcourse.ingress.client_limits import NO_LIMITS, ClientLimits


def read_boot_clock() -> float:
    """Read the seconds since the host started, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetState:
    """Desired state, targets, withdrawals and versions as last read.

    :param desired: none until first read.
    :param confirmed_at: boot clock at which the last call to the store began
        that found nothing newer.
    :param withdrawn: failure domains that get no requests.
    :param weights: versions announced for each model, the newest last.
    :param versions_complete_since: seconds of the clock that runs during
        suspension, from which on no version is missing in ``weights``;
        infinite until the operators' rows were read.
    :param targets_known: true once the list of targets was read.
    :param store_lost: true while consecutive calls to the store fail.
    :param store_failed_at: seconds of the clock that runs during suspension
        at which the last of these calls was sent.
    :param store_outage_at: seconds of the clock that runs during suspension
        at which the store was last unreachable for most daemons; bounds on
        versions restart from then.
    :param restored_until: seconds of the clock that runs during suspension
        until which changes may be missing in the store, as it came back from
        an older copy.
    :param reach: failure domains to which connections failed.
    :param departures: targets that said in an answer that they leave.
    :param peer_versions: newer desired states that other daemons have.
    """

    desired: DesiredState | None = None
    confirmed_at: float = 0
    withdrawn: frozenset[FailureDomainName] = frozenset()
    weights: dict[ModelName, tuple[AnnouncedVersion, ...]] = dataclasses.field(
        default_factory=dict
    )
    versions_complete_since: float = math.inf
    targets: dict[TargetName, Target] = dataclasses.field(default_factory=dict)
    targets_known: bool = False
    store_lost: bool = False
    store_failed_at: float = -math.inf
    store_outage_at: float = -math.inf
    restored_until: float = -math.inf
    reach: DomainReach = dataclasses.field(default_factory=DomainReach)
    departures: TargetDepartures = dataclasses.field(
        default_factory=TargetDepartures
    )
    peer_versions: PeerVersions = dataclasses.field(
        default_factory=PeerVersions
    )

    @property
    def version(self) -> int:
        """Return the version of the desired state in force; zero for none."""
        return 0 if self.desired is None else self.desired.version

    def read_age(self) -> float:
        """Compute the seconds since the desired state was last confirmed."""
        return read_boot_clock() - self.confirmed_at

    def note_peer_version(self, version: int) -> None:
        """Note the desired state that another daemon has in force."""
        self.peer_versions.note(
            version, own=self.version, now=read_boot_clock()
        )

    def read_behind_seconds(self) -> float:
        """Compute for how long other daemons have had a newer desired state."""
        return self.peer_versions.read_behind_seconds(
            own=self.version, now=read_boot_clock()
        )

    def read_client_limits(self) -> ClientLimits:
        """Read the limits on what callers may send; none before a state."""
        return NO_LIMITS if self.desired is None else self.desired.client_limits

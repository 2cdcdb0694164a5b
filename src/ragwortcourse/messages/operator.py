"""Requests and answers of the operators' routes."""

import msgspec

from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.identifiers import (
    ChangeId,
    ClientAccountName,
    DaemonId,
    DeploymentName,
    FailureDomainName,
    Generation,
    ModelName,
    RegionName,
    TargetName,
    VersionName,
)
from ragwortcourse.messages.error_body import ErrorDetail
from ragwortcourse.messages.target_status import (
    TargetStatus,
    WeightTransferProgress,
)
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope


class ConfigurationChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /operator/configuration``.

    :param base_generation: generation the operator started from.
    :param change: fresh id; sending it again is harmless.
    """

    base_generation: Generation
    configuration: Configuration
    change: ChangeId


class AvailabilityChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /operator/withdrawals`` and ``/operator/returns``.

    :param name: failure domain or target.
    :param change: fresh id; sending it again is harmless.
    """

    scope: WithdrawalScope
    name: str
    change: ChangeId


class ChangeAccepted(msgspec.Struct, frozen=True, kw_only=True):
    """A change is accepted (200).

    :param generation: generation in force with it.
    :param pending: true for a withdrawal that is in force between the
        daemons and not yet written to the table service.
    """

    generation: Generation
    change: ChangeId
    pending: bool = False


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True):
    """Another change went first (409)."""

    generation: Generation
    document: ConfigurationDocument | None


class OperatorErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every other refusal.

    :param findings: all that is wrong with what was sent, with its place.
    """

    error: ErrorDetail
    findings: tuple[Finding, ...] = ()


class TargetSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One target as the answering daemon believes it to be.

    :param status: newest status its agent gave.
    :param status_age: seconds since then.
    :param latency: smoothed seconds of a round trip.
    :param withdrawn: true where operators took it out.
    """

    target: TargetName
    deployment: DeploymentName
    failure_domain: FailureDomainName
    region: RegionName
    address: str
    status: TargetStatus | None = None
    status_age: float | None = None
    spare: int = 0
    latency: float = 0
    leaving: bool = False
    withdrawn: bool = False
    in_flight: int = 0


class OperatorStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /operator/status``.

    :param withdrawals: withdrawals not yet written to the table service.
    :param table_reachable: false while the table service does not answer.
    """

    daemon: DaemonId
    generation: Generation
    withdrawals: tuple[Withdrawal, ...]
    targets: tuple[TargetSummary, ...]
    table_reachable: bool = True


class ReplicaSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One target of a deployment on its way to the wanted version.

    :param ready: true once its engine confirmed the version.
    :param landing: how far its weights have come, while they come.
    """

    target: TargetName
    failure_domain: FailureDomainName
    ready: bool
    status_age: float | None = None
    landing: WeightTransferProgress | None = None


class ReplicaProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /operator/replicas/{deployment}``.

    :param wanted: targets that the deployment asks for.
    :param rate: bytes a second arriving at all its targets together.
    :param from_origin: bytes drawn from the origin so far.
    :param from_peers: bytes drawn from other agents so far.
    :param seconds_left: expected seconds until the last target holds every
        byte; none while that of any target is not known.
    """

    deployment: DeploymentName
    model: ModelName
    version: VersionName
    wanted: int
    ready: int
    rate: float
    from_origin: int
    from_peers: int
    replicas: tuple[ReplicaSummary, ...]
    seconds_left: float | None = None


class Crasher(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is refused because it takes targets down.

    :param fingerprint: digest of client account and body.
    :param targets: targets that died under it.
    """

    fingerprint: str
    account: ClientAccountName
    targets: tuple[TargetName, ...]


class CrasherList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /operator/crashers``."""

    crashers: tuple[Crasher, ...]


class RolloutCancellation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /operator/weights/cancel``.

    :param deployment: model deployment whose coming version is given up.
    :param change: fresh id; sending it again is harmless.
    """

    deployment: DeploymentName
    change: ChangeId

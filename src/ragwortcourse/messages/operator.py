"""Request and answer bodies of the operators' routes."""

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

    :param base_generation: generation that the operator edited.
    :param change: unique id that makes resends idempotent.
    """

    base_generation: Generation
    configuration: Configuration
    change: ChangeId


class AvailabilityChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /operator/withdrawals`` and ``/operator/returns``.

    :param name: name of the failure domain or target.
    :param change: unique id that makes resends idempotent.
    """

    scope: WithdrawalScope
    name: str
    change: ChangeId


class ChangeAccepted(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an accepted change (200).

    :param generation: committed generation that includes the change; the
        generation in force while the change is pending.
    :param pending: true for a withdrawal that daemons already pass on to
        each other but that is not yet written to the table service.
    """

    generation: Generation
    change: ChangeId
    pending: bool = False


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a change that lost against another change (409).

    :param generation: generation in force.
    :param document: document in force, if any.
    """

    generation: Generation
    document: ConfigurationDocument | None


class OperatorErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of all other error answers.

    :param findings: everything wrong with the request, with its place.
    """

    error: ErrorDetail
    findings: tuple[Finding, ...] = ()


class TargetSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One target, as known to the answering daemon.

    :param status: newest status from the target's agent.
    :param status_age: seconds since that status arrived.
    :param spare: free permits at the target's gate.
    :param latency: smoothed round-trip time in seconds.
    :param withdrawn: true if an operator withdrew the target or its failure
        domain.
    :param in_flight: attempts of this daemon that run at the target.
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
    :param targets: targets that the daemon watches or that were asked for.
    :param table_reachable: false while the table service does not answer.
    """

    daemon: DaemonId
    generation: Generation
    withdrawals: tuple[Withdrawal, ...]
    targets: tuple[TargetSummary, ...]
    table_reachable: bool = True


class ReplicaSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Rollout progress of one target of a deployment.

    :param ready: true once the target's engine confirmed the version.
    :param status_age: seconds since the target's newest status arrived.
    :param landing: progress of the current weight transfer, if any.
    """

    target: TargetName
    failure_domain: FailureDomainName
    ready: bool
    status_age: float | None = None
    landing: WeightTransferProgress | None = None


class ReplicaProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /operator/replicas/{deployment}``.

    :param wanted: number of targets that the deployment asks for.
    :param ready: number of targets that serve the version.
    :param rate: bytes per second received by all targets together.
    :param from_origin: bytes fetched from the origin so far.
    :param from_peers: bytes fetched from other agents so far.
    :param seconds_left: estimated seconds until the last target holds every
        byte; none while the estimate of any target is unknown.
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
    """Request that is refused because it crashes targets.

    :param fingerprint: digest of client account, method, path and body.
    :param targets: targets that crashed while they ran the request.
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

    :param deployment: model deployment whose rollout is cancelled.
    :param change: unique id that makes resends idempotent.
    """

    deployment: DeploymentName
    change: ChangeId

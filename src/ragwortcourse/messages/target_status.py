"""Status of a target, sent by its agent in answer to a heartbeat."""

import msgspec

from ragwortcourse.identifiers import (
    AdapterName,
    DeploymentName,
    FailureDomainName,
    Generation,
    ModelName,
    TargetName,
    VersionName,
)
from ragwortcourse.messages.withdrawal import Withdrawal


class ServedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Complete model version that the engine has confirmed."""

    model: ModelName
    version: VersionName
    adapters: tuple[AdapterName, ...] = ()


class WeightTransferProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Transfer progress of a version's weights to one target.

    :param held: bytes verified so far.
    :param total: size of the version in bytes; zero while unknown.
    :param from_origin: bytes fetched from the origin.
    :param from_peers: bytes fetched from other agents.
    :param rate: bytes per second, averaged over the last seconds.
    :param seconds_left: seconds until the transfer ends at that rate; none
        while nothing arrives or the size is unknown.
    :param detail: what the transfer waits for or why it stopped, for people.
    """

    model: ModelName
    version: VersionName
    held: int
    total: int
    from_origin: int = 0
    from_peers: int = 0
    rate: float = 0
    seconds_left: float | None = None
    detail: str = ''


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Current status of one target, from its gate.

    :param limit: current number of permits, with slow start applied.
    :param running: permits in use.
    :param queued: requests waiting at the gate.
    :param leaving: true once the target or its host takes no new work.
    :param served: versions that the engine confirmed.
    :param generation: configuration generation in force at the agent.
    :param withdrawals: withdrawals that the agent knows of and that no
        configuration has settled yet.
    :param landing: progress of the current weight transfer, if any.
    :param suspects: fingerprints of requests that were running when the
        target recently crashed.
    """

    target: TargetName
    deployment: DeploymentName
    failure_domain: FailureDomainName
    limit: int
    running: int
    queued: int
    leaving: bool
    served: tuple[ServedVersion, ...]
    generation: Generation
    withdrawals: tuple[Withdrawal, ...] = ()
    landing: WeightTransferProgress | None = None
    suspects: tuple[str, ...] = ()

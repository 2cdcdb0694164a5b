"""What an agent says of its target, in answer to a heartbeat."""

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
    """A complete model version that the engine has confirmed."""

    model: ModelName
    version: VersionName
    adapters: tuple[AdapterName, ...] = ()


class WeightTransferProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How far the weights of a version have come at one target.

    :param held: bytes verified so far.
    :param total: bytes of the whole version; zero while not yet known.
    :param from_origin: bytes drawn from the origin.
    :param from_peers: bytes drawn from other agents.
    :param rate: bytes a second, over the last seconds.
    :param seconds_left: until all bytes are here at that rate; none while
        nothing arrives or the size is not yet known.
    :param detail: what it waits for or why it stopped, for a person.
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
    """State of one target as its gate sees it now.

    :param limit: permits in force now, the warm-up included.
    :param running: permits taken.
    :param queued: work waiting at the gate.
    :param leaving: true once the target or its host takes no new work.
    :param served: versions that the engine confirmed.
    :param generation: configuration generation in force at the agent.
    :param withdrawals: withdrawals known there and not yet settled.
    :param landing: weights on their way, while there are any.
    :param suspects: fingerprints under way when the target lately died.
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

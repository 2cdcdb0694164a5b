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


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one target as its gate sees it now.

    :param limit: permits in force now, the warm-up included.
    :param running: permits taken.
    :param queued: work waiting at the gate.
    :param leaving: true once the target or its host takes no new work.
    :param served: versions that the engine confirmed.
    :param generation: configuration generation in force at the agent.
    :param withdrawals: withdrawals known there and not yet settled.
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
    suspects: tuple[str, ...] = ()

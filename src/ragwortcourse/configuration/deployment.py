"""Deployments: what runs where, and how much each target may take."""

import msgspec

from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.identifiers import (
    AdapterName,
    DeploymentName,
    FailureDomainName,
    ModelName,
    Sha256Hex,
    VersionName,
)


class Adapter(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An adapter and the version of it that goes with a model version."""

    name: AdapterName
    version: VersionName
    manifest_sha256: Sha256Hex


class ModelDeployment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model version on the targets of some failure domains.

    :param manifest_sha256: digest of the manifest that names the weights.
    :param replicas: targets wanted; zero means every target there is.
    :param batch: targets that may change version at the same time.
    :param role: ordered from the engines; none leaves them as they are.
    :param cancelled: true where an operator gave the version up: targets
        go on with what they have and land nothing.
    """

    name: DeploymentName
    model: ModelName
    version: VersionName
    manifest_sha256: Sha256Hex
    failure_domains: tuple[FailureDomainName, ...]
    adapters: tuple[Adapter, ...] = ()
    replicas: int = 0
    batch: int = 1
    role: EngineRole | None = None
    cancelled: bool = False
    limits: TargetLimits = TargetLimits()


class CallPattern(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Calls of a service, by method and start of the path."""

    method: str
    path_prefix: str = '/'


class ServiceDeployment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A plain service on the targets of some failure domains.

    :param non_idempotent: calls that run at most once.
    """

    name: DeploymentName
    failure_domains: tuple[FailureDomainName, ...]
    non_idempotent: tuple[CallPattern, ...] = ()
    limits: TargetLimits = TargetLimits()


Deployment = ModelDeployment | ServiceDeployment

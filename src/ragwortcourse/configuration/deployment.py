"""Deployments of models and services, with the limits of each target."""

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
    """Adapter version that is loaded along with a model version.

    :param manifest_sha256: digest of the manifest of the adapter's weights.
    """

    name: AdapterName
    version: VersionName
    manifest_sha256: Sha256Hex


class ModelDeployment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Model version to be served on targets of some failure domains.

    :param manifest_sha256: digest of the manifest that lists the weights.
    :param replicas: wanted number of targets; zero means all targets.
    :param batch: number of targets that may change version at once.
    :param role: role to set on the engines; none leaves their role as is.
    :param cancelled: true where an operator cancelled the roll-out: targets
        keep the version that they have and load nothing.
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
    """Pattern that matches calls by method and path prefix."""

    method: str
    path_prefix: str = '/'


class ServiceDeployment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Service without model weights on targets of some failure domains.

    :param non_idempotent: patterns of calls that must run at most once.
    """

    name: DeploymentName
    failure_domains: tuple[FailureDomainName, ...]
    non_idempotent: tuple[CallPattern, ...] = ()
    limits: TargetLimits = TargetLimits()


Deployment = ModelDeployment | ServiceDeployment

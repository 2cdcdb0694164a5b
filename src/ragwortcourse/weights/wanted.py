"""Weights that the configuration wants on one target."""

import hashlib

import msgspec

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.deployment import Adapter, ModelDeployment
from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    ModelName,
    Sha256Hex,
    VersionName,
)
from ragwortcourse.weights.peer_port import PeerAddress


class WantedWeights(msgspec.Struct, frozen=True, kw_only=True):
    """One model version with its adapters.

    :param batch: number of targets that may change version at the same time.
    :param role: role for the engine; None leaves the role unchanged.
    """

    deployment: DeploymentName
    model: ModelName
    version: VersionName
    manifest_sha256: Sha256Hex
    adapters: tuple[Adapter, ...]
    batch: int
    role: EngineRole | None = None

    @property
    def digests(self) -> frozenset[Sha256Hex]:
        """Digests of the manifests of the model and its adapters."""
        adapters = {adapter.manifest_sha256 for adapter in self.adapters}
        return frozenset((self.manifest_sha256, *adapters))


def find_wanted(
    configuration: Configuration,
    deployment: DeploymentName,
    own: PeerAddress,
    others: tuple[PeerAddress, ...],
) -> WantedWeights | None:
    """Return the weights that a target is to serve, if any.

    :param own: address of the target's host.
    :param others: addresses of the other hosts of the deployment.
    """
    for candidate in configuration.models:
        if candidate.name != deployment:
            continue
        if own.failure_domain not in candidate.failure_domains:
            return None
        if not _is_chosen(candidate, own, others):
            return None
        return WantedWeights(
            deployment=candidate.name,
            model=candidate.model,
            version=candidate.version,
            manifest_sha256=candidate.manifest_sha256,
            adapters=candidate.adapters,
            batch=max(candidate.batch, 1),
            role=candidate.role,
        )
    return None


def is_cancelled(
    configuration: Configuration, deployment: DeploymentName
) -> bool:
    """Return whether an operator cancelled the configured version."""
    return any(
        candidate.cancelled
        for candidate in configuration.models
        if candidate.name == deployment
    )


def _is_chosen(
    deployment: ModelDeployment,
    own: PeerAddress,
    others: tuple[PeerAddress, ...],
) -> bool:
    """Return whether rendezvous hashing makes the target a replica."""
    if not deployment.replicas:
        return True
    members = {
        peer.daemon
        for peer in others
        if peer.failure_domain in deployment.failure_domains
    }
    score = _score(deployment.name, own.daemon)
    before = sum(
        _score(deployment.name, member) < score
        for member in members - {own.daemon}
    )
    return before < deployment.replicas


def _score(deployment: DeploymentName, daemon: DaemonId) -> bytes:
    return hashlib.sha256(f'{deployment}/{daemon}'.encode()).digest()

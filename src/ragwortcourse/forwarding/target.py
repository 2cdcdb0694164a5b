"""Targets as listed in the store."""

import dataclasses

from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.identifiers import (
    Address,
    FailureDomainName,
    ModelName,
    RegionName,
    ServiceName,
    TargetName,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldWeights:
    """Range of layers that an engine holds.

    :param first: index of the first layer.
    :param end: index after the last layer.
    :param model: none if the engine does not state it; it then counts as the
        model of the engine's service.
    """

    version: int
    first: int
    end: int
    model: ModelName | None = None

    def covers(self, engine: EngineProfile) -> bool:
        """Tell whether these are all layers of the service's model."""
        is_own = self.model in {None, engine.model}
        return is_own and self.first == 0 and self.end >= engine.layers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One incarnation of a target.

    :param born: start time in milliseconds since the epoch; another value
        under the same name is a restarted target without any earlier state.
    :param slots: requests that the target runs at once.
    :param leaving: true once the target takes no new requests.
    :param cold_seconds: remaining cold time when the entry was written.
    :param weights: none for plain services and engines without weights.
    """

    name: TargetName
    born: int
    service: ServiceName
    address: Address
    failure_domain: FailureDomainName
    region: RegionName
    slots: int
    leaving: bool = False
    cold_seconds: float = 0
    weights: HeldWeights | None = None

    @property
    def version(self) -> int:
        """Version of the weights by the entry; zero without weights."""
        return 0 if self.weights is None else self.weights.version

    def holds(self, engine: EngineProfile) -> bool:
        """Tell whether the target holds every layer of the service's model."""
        return self.weights is not None and self.weights.covers(engine)

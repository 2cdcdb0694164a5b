"""Targets as the list of the fleet shows them."""

import dataclasses

from ragwortcourse.identifiers import (
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetName,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldWeights:
    """Layers that an engine holds.

    :param first: first layer held.
    :param end: layer after the last one held.
    """

    version: int
    first: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One incarnation of a target.

    :param born: milliseconds since the epoch of its start; another value
        under the same name is another incarnation, which holds nothing.
    :param address: ``ip:port``.
    :param slots: requests that it runs at once.
    :param leaving: true once it takes no new work.
    :param cold_seconds: how long it stays cold, as of the entry.
    :param weights: none for plain services and empty engines.
    """

    name: TargetName
    born: int
    service: ServiceName
    address: str
    failure_domain: FailureDomainName
    region: RegionName
    slots: int
    leaving: bool = False
    cold_seconds: float = 0
    weights: HeldWeights | None = None

    def holds(self, layers: int) -> bool:
        """Tell whether it holds every layer of a model."""
        held = self.weights
        return held is not None and held.first == 0 and held.end >= layers

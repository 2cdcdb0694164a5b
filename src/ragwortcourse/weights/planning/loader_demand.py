"""Versions that loaders ask an entry daemon for.

Load pattern: a version is named while its predecessor is being downloaded.
Loaders plan which of the two comes first. An entry daemon that prefetched the
other one would halve the rate of the origin's link for it, so the prefetches
follow what loaders ask for.
"""

import math
from collections.abc import Callable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName

# A loader that downloads a version asks the daemons of its failure domain
# several times in this time.
DEMAND_SECONDS: Final = 1.5
# Between two looks at all targets, of which there may be thousands.
HELD_SECONDS: Final = 0.2

IsWanted = Callable[[ModelName, int], bool]
AskedAt = dict[ModelName, dict[int, float]]
# Time of a look at all targets, and the versions found.
HeldAt = tuple[float, frozenset[int]]


def want_always(model: ModelName, version: int) -> bool:
    """Want every version."""
    return True


class LoaderDemand:
    """When each version of a model was last asked for."""

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._by_loaders: AskedAt = {}
        self._by_relays: AskedAt = {}
        self._held: dict[ModelName, HeldAt] = {}

    def note(self, model: ModelName, version: int, *, is_relay: bool) -> None:
        """Note that a loader or another daemon asked for a chunk."""
        asked = self._by_relays if is_relay else self._by_loaders
        recent = _list_recent(asked, model)
        recent[version] = read_clock()
        asked[model] = recent

    def is_current(self, model: ModelName, version: int) -> bool:
        """Tell whether anybody still needs chunks of a version."""
        return (
            version in _list_recent(self._by_loaders, model)
            or version in _list_recent(self._by_relays, model)
            or self.is_wanted(model, version)
        )

    def is_wanted(self, model: ModelName, version: int) -> bool:
        """Tell whether to prefetch a version.

        A version that engines hold does not take the origin's link, and one
        that they have left behind is of no use.
        """
        held = self._list_held(model)
        newest_held = max(held, default=0)
        if version <= newest_held:
            return version in held
        recent = _list_recent(self._by_loaders, model)
        asked = [each for each in recent if each > newest_held]
        if asked:
            return version == max(asked)
        named = self._state.weights.get(model, ())
        return not named or version >= named[-1].version

    def list_in_service(self) -> list[tuple[ModelName, int]]:
        """List the versions of each model that engines hold completely."""
        if self._state.desired is None:
            return []
        engines = {
            rules.engine.model
            for rules in self._state.desired.services.values()
            if rules.engine is not None
        }
        return [
            (model, version)
            for model in sorted(engines)
            for version in sorted(self._list_held(model))
        ]

    def _list_held(self, model: ModelName) -> frozenset[int]:
        """List the versions that engines hold completely, as of late."""
        read_at, held = self._held.get(model, (-math.inf, frozenset()))
        now = read_clock()
        if now - read_at > HELD_SECONDS:
            held = frozenset(self._find_held(model))
            self._held[model] = (now, held)
        return held

    def _find_held(self, model: ModelName) -> Iterator[int]:
        desired = self._state.desired
        services = {} if desired is None else desired.services
        engines = {
            name: rules.engine
            for name, rules in services.items()
            if rules.engine is not None and rules.engine.model == model
        }
        for target in self._state.targets.values():
            engine = engines.get(target.service)
            if engine is not None and target.holds(engine):
                yield target.version


def _list_recent(asked_at: AskedAt, model: ModelName) -> dict[int, float]:
    since = read_clock() - DEMAND_SECONDS
    known = asked_at.get(model, {})
    return {version: at for version, at in known.items() if at >= since}

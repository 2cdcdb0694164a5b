"""Versions that loaders ask an entry daemon for.

Load pattern: a version is named while its predecessor is being downloaded.
Loaders plan which of the two comes first. An entry daemon that prefetched the
other one would halve the rate of the origin's link for it, so the prefetches
follow what loaders ask for.
"""

from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName

# A loader that downloads a version asks the daemons of its failure domain
# several times in this time.
DEMAND_SECONDS: Final = 1.5


class LoaderDemand:
    """When loaders last asked for each version of a model."""

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._asked_at: dict[ModelName, dict[int, float]] = {}

    def note(self, model: ModelName, version: int) -> None:
        """Note that a loader asked for a chunk of a version."""
        recent = self._list_recent(model)
        recent[version] = read_clock()
        self._asked_at[model] = recent

    def is_wanted(self, model: ModelName, version: int) -> bool:
        """Tell whether to prefetch a version.

        A version that engines hold does not take the origin's link.
        """
        held = self._find_held(model)
        if version <= held:
            return True
        asked = [each for each in self._list_recent(model) if each > held]
        if asked:
            return version == max(asked)
        named = self._state.weights.get(model, ())
        return not named or version >= named[-1].version

    def _list_recent(self, model: ModelName) -> dict[int, float]:
        since = read_clock() - DEMAND_SECONDS
        known = self._asked_at.get(model, {})
        return {version: at for version, at in known.items() if at >= since}

    def _find_held(self, model: ModelName) -> int:
        """Find the newest version that an engine holds completely."""
        if self._state.desired is None:
            return 0
        layers = {
            name: rules.engine.layers
            for name, rules in self._state.desired.services.items()
            if rules.engine is not None and rules.engine.model == model
        }
        return max(
            (
                target.version
                for target in self._state.targets.values()
                if target.service in layers
                and target.holds(layers[target.service])
            ),
            default=0,
        )

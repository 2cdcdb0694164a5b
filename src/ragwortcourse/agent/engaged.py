"""How much work at this target needs which model version."""

import collections
import contextlib
from collections.abc import Iterator

from ragwortcourse.identifiers import AdapterName, ModelName, VersionName

VersionKey = tuple[ModelName | None, VersionName | None, AdapterName | None]


class EngagedVersions:
    """Counts work, waiting at the gate or under way, by model version."""

    def __init__(self) -> None:
        self._counts: collections.Counter[VersionKey] = collections.Counter()

    def enter(self, key: VersionKey) -> None:
        """Count one more piece of work on a version."""
        self._counts[key] += 1

    def leave(self, key: VersionKey) -> None:
        """Count one piece of work less on a version."""
        self._counts[key] -= 1
        if not self._counts[key]:
            self._counts.pop(key)

    @contextlib.contextmanager
    def hold(self, key: VersionKey) -> Iterator[None]:
        """Count a piece of work for as long as the block runs."""
        self.enter(key)
        try:
            yield
        finally:
            self.leave(key)

    def count(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
    ) -> int:
        """Work on a version; with an adapter named, only on that adapter."""
        return sum(
            number
            for key, number in self._counts.items()
            if key[:2] == (model, version) and adapter in {None, key[2]}
        )

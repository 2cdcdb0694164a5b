"""How many requests are under way on each model version."""

import collections

from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.messages.attempt import Attempt

VersionKey = tuple[ModelName | None, VersionName | None, AdapterName | None]


class VersionUse:
    """Counts requests from their arrival at the gate to their end."""

    def __init__(self) -> None:
        self._counts: collections.Counter[VersionKey] = collections.Counter()

    def begin(self, attempt: Attempt) -> None:
        """Count a request in."""
        self._counts.update(list_keys(attempt))

    def end(self, attempt: Attempt) -> None:
        """Count a request out."""
        self._counts.subtract(list_keys(attempt))
        for key in list_keys(attempt):
            if not self._counts[key]:
                self._counts.pop(key)

    def count(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
    ) -> int:
        """Requests on a version, or on one of its adapters."""
        return self._counts[model, version, adapter]


def list_keys(attempt: Attempt) -> list[VersionKey]:
    """The version of an attempt, and its adapter where it names one."""
    keys: list[VersionKey] = [(attempt.model, attempt.version, None)]
    if attempt.adapter is not None:
        keys.append((attempt.model, attempt.version, attempt.adapter))
    return keys

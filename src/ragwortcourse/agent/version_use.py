"""Counts unfinished requests for each model version."""

import collections

from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.messages.attempt import Attempt

VersionKey = tuple[ModelName | None, VersionName | None, AdapterName | None]


class VersionUse:
    """Counters of requests between arrival at the gate and their end."""

    def __init__(self) -> None:
        self._counts: collections.Counter[VersionKey] = collections.Counter()

    def begin(self, attempt: Attempt) -> None:
        """Increment the counters of a request's version and adapter."""
        self._counts.update(list_keys(attempt))

    def end(self, attempt: Attempt) -> None:
        """Decrement the counters of a request's version and adapter."""
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
        """Return the number of requests on a version or one of its adapters.

        :param adapter: none to count all requests on the version.
        """
        return self._counts[model, version, adapter]


def list_keys(attempt: Attempt) -> list[VersionKey]:
    """List the counters of an attempt: its version and its adapter, if any."""
    keys: list[VersionKey] = [(attempt.model, attempt.version, None)]
    if attempt.adapter is not None:
        keys.append((attempt.model, attempt.version, attempt.adapter))
    return keys

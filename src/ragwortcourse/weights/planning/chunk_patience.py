"""Patience with the daemon that is to download a chunk for others.

Load pattern: the origin goes away with a version half sent, or its link is
narrow, and every daemon waits for the same chunks. If all of them turned to
the origin by themselves, its link would carry each chunk many times, none of
them in time. Another source is asked only once the other chunks of the
version arrive and this one does not.
"""

import math
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.model_version import ModelVersion

# Time without a chunk after which a version does not arrive, as its origin is
# away. Waiting counts anew from the next chunk.
PAUSE_SECONDS: Final = 2.0
# While nothing arrives at all, another source is asked after several times
# the usual wait: the daemon may be cut off from an origin that is there.
STANDSTILL_FACTOR: Final = 3
# Versions of a model whose chunks are waited for at the same time.
VERSIONS_WATCHED: Final = 3


class ChunkPatience:
    """Since when one daemon has waited for each chunk."""

    def __init__(self) -> None:
        self._asked_at: dict[ModelVersion, dict[int, float]] = {}
        self._arrived_at: dict[ModelVersion, float] = {}
        self._resumed_at: dict[ModelVersion, float] = {}

    def note_arrived(self, version: ModelVersion, index: int) -> None:
        """Note that a chunk has arrived."""
        now = read_clock()
        last_at = self._arrived_at.get(version, -math.inf)
        if now - last_at > PAUSE_SECONDS:
            self._resumed_at[version] = now
        self._arrived_at[version] = now
        self._asked_at.get(version, {}).pop(index, None)
        self._forget_old(version.model)

    def is_over(
        self, version: ModelVersion, index: int, seconds: float
    ) -> bool:
        """Tell whether to ask another source; the first call starts the wait.

        :param seconds: longest wait while other chunks of the version arrive.
        """
        now = read_clock()
        asked = self._asked_at.setdefault(version, {})
        asked_at = asked.setdefault(index, now)
        self._forget_old(version.model)
        last_at = self._arrived_at.get(version, -math.inf)
        if now - last_at > PAUSE_SECONDS:
            return now - asked_at > seconds * STANDSTILL_FACTOR
        resumed_at = self._resumed_at[version]
        return now - max(asked_at, resumed_at) > seconds

    def _forget_old(self, model: ModelName) -> None:
        known = self._asked_at.keys() | self._arrived_at.keys()
        same = sorted(version for version in known if version.model == model)
        for version in same[:-VERSIONS_WATCHED]:
            for times in (self._asked_at, self._arrived_at, self._resumed_at):
                times.pop(version, None)

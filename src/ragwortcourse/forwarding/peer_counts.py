"""Requests of other entry daemons at targets."""

import dataclasses
from collections import Counter
from collections.abc import Mapping
from typing import Final

from ragwortcourse.identifiers import DaemonId, TargetName

# Other entry daemons tell more often than that while they live.
FRESH_SECONDS: Final = 1.5

# For each target the requests under way, and those without an answer yet.
Counts = Mapping[TargetName, tuple[int, int]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Told:
    counts: dict[TargetName, tuple[int, int]]
    at: float


class PeerCounts:
    """What other entry daemons told last, summed for each target.

    The word of a daemon that is no longer heard lapses. Taking a word costs
    what it holds, whatever the number of targets, and reading a sum is one
    look-up.
    """

    def __init__(self) -> None:
        # The oldest word first.
        self._told: dict[DaemonId, _Told] = {}
        self._running: Counter[TargetName] = Counter()
        self._starting: Counter[TargetName] = Counter()

    def note(self, daemon: DaemonId, counts: Counts, now: float) -> None:
        """Take another entry daemon's word; it replaces the one before."""
        before = self._told.pop(daemon, None)
        if before is None:
            self._add(counts)
        elif before.counts != counts:
            self._subtract(before.counts)
            self._add(counts)
        self._told[daemon] = _Told(counts=dict(counts), at=now)

    def forget(self, target: TargetName) -> None:
        """Drop what was told of a target that began anew."""
        for told in self._told.values():
            told.counts.pop(target, None)
        self._running.pop(target, None)
        self._starting.pop(target, None)

    def count_running(self, target: TargetName, now: float) -> int:
        """Requests under way."""
        self._drop_silent(now)
        return self._running.get(target, 0)

    def count_starting(self, target: TargetName, now: float) -> int:
        """Requests without an answer yet."""
        self._drop_silent(now)
        return self._starting.get(target, 0)

    def _drop_silent(self, now: float) -> None:
        while self._told:
            daemon, oldest = next(iter(self._told.items()))
            if now - oldest.at < FRESH_SECONDS:
                return
            self._subtract(self._told.pop(daemon).counts)

    def _add(self, counts: Counts) -> None:
        for target, (running, starting) in counts.items():
            self._running[target] += running
            self._starting[target] += starting

    def _subtract(self, counts: Counts) -> None:
        for target, (running, starting) in counts.items():
            self._running[target] -= running
            self._starting[target] -= starting
            if not self._running[target]:
                del self._running[target]
            if not self._starting[target]:
                del self._starting[target]

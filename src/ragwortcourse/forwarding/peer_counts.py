"""Requests of other entry daemons at targets."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from ragwortcourse.identifiers import DaemonId, TargetName

# Other entry daemons tell more often than that while they live.
FRESH_SECONDS: Final = 1.5
NOTHING: Final = (0, 0)

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
        self._sums: dict[TargetName, tuple[int, int]] = {}

    def note(self, daemon: DaemonId, counts: Counts, now: float) -> None:
        """Take another entry daemon's word; it replaces the one before."""
        before = self._told.pop(daemon, None)
        self._replace({} if before is None else before.counts, counts)
        self._told[daemon] = _Told(counts=dict(counts), at=now)

    def forget(self, target: TargetName) -> None:
        """Drop what was told of a target that began anew."""
        for told in self._told.values():
            told.counts.pop(target, None)
        self._sums.pop(target, None)

    def count_running(self, target: TargetName, now: float) -> int:
        """Requests under way."""
        self._drop_silent(now)
        return self._sums.get(target, NOTHING)[0]

    def count_unanswered(self, target: TargetName, now: float) -> int:
        """Requests without an answer yet."""
        self._drop_silent(now)
        return self._sums.get(target, NOTHING)[1]

    def _drop_silent(self, now: float) -> None:
        while self._told:
            daemon, oldest = next(iter(self._told.items()))
            if now - oldest.at < FRESH_SECONDS:
                return
            self._replace(self._told.pop(daemon).counts, {})

    def _replace(
        self, before: dict[TargetName, tuple[int, int]], counts: Counts
    ) -> None:
        """Correct the sums by what changed.

        :param before: emptied of what is still told.
        """
        for target, told in counts.items():
            was = before.pop(target, NOTHING)
            if told != was:
                self._shift(target, told[0] - was[0], told[1] - was[1])
        for target, (running, starting) in before.items():
            self._shift(target, -running, -starting)

    def _shift(self, target: TargetName, running: int, starting: int) -> None:
        known = self._sums.get(target, NOTHING)
        total = known[0] + running, known[1] + starting
        if total == NOTHING:
            self._sums.pop(target, None)
        else:
            self._sums[target] = total

"""Requests of other entry daemons at each target."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from ragwortcourse.identifiers import DaemonId, TargetName

# Live entry daemons send messages more often than this.
FRESH_SECONDS: Final = 1.5
NOTHING: Final = (0, 0)

# For each target the running requests, and those of them without an answer
# yet.
Counts = Mapping[TargetName, tuple[int, int]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    counts: dict[TargetName, tuple[int, int]]
    at: float


class PeerCounts:
    """Last reported counts of other entry daemons, summed for each target.

    The report of a daemon that sends no more messages expires. The cost of a
    report depends on its size only, not on the number of targets, and reading
    a sum is one look-up.
    """

    def __init__(self) -> None:
        # The oldest report comes first.
        self._reports: dict[DaemonId, _Report] = {}
        self._sums: dict[TargetName, tuple[int, int]] = {}

    def note(self, daemon: DaemonId, counts: Counts, now: float) -> None:
        """Replace the last report of another entry daemon."""
        before = self._reports.pop(daemon, None)
        self._replace({} if before is None else before.counts, counts)
        self._reports[daemon] = _Report(counts=dict(counts), at=now)

    def forget(self, target: TargetName) -> None:
        """Drop the counts of a target that restarted."""
        for report in self._reports.values():
            report.counts.pop(target, None)
        self._sums.pop(target, None)

    def count_running(self, target: TargetName, now: float) -> int:
        """Count the running requests of other daemons at a target."""
        return self.read_sums(target, now)[0]

    def count_unanswered(self, target: TargetName, now: float) -> int:
        """Count the requests of other daemons without an answer yet."""
        return self.read_sums(target, now)[1]

    def read_sums(self, target: TargetName, now: float) -> tuple[int, int]:
        """Read the sums of both counts of other daemons at a target."""
        self._drop_silent(now)
        return self._sums.get(target, NOTHING)

    def _drop_silent(self, now: float) -> None:
        while self._reports:
            daemon, oldest = next(iter(self._reports.items()))
            if now - oldest.at < FRESH_SECONDS:
                return
            self._replace(self._reports.pop(daemon).counts, {})

    def _replace(
        self, before: dict[TargetName, tuple[int, int]], counts: Counts
    ) -> None:
        """Update the sums by the difference between two reports.

        :param before: previous counts; targets that are in both reports are
            removed from the dictionary.
        """
        for target, reported in counts.items():
            was = before.pop(target, NOTHING)
            if reported != was:
                self._shift(target, reported[0] - was[0], reported[1] - was[1])
        for target, (running, starting) in before.items():
            self._shift(target, -running, -starting)

    def _shift(self, target: TargetName, running: int, starting: int) -> None:
        known = self._sums.get(target, NOTHING)
        total = known[0] + running, known[1] + starting
        if total == NOTHING:
            self._sums.pop(target, None)
        else:
            self._sums[target] = total

"""Evidence that one request crashes the targets that run it."""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from ragwortcourse.forwarding.lost_run import Fate, LostRun
from ragwortcourse.identifiers import TargetName

# Tolerance for the transit time of reports of other daemons.
ORDER_TOLERANCE_SECONDS: Final = 0.02

# More than the crashes after which a request is refused.
RUNS_LIMIT: Final = 16

Incarnation = tuple[TargetName, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class CrashEvidence:
    """Lost runs of one request, at most one for each incarnation.

    Times are seconds of the clock that runs during suspension.

    :param answered_at: time of the newest complete answer; runs lost before do
        not count.
    :param own_news_at: time of the newest loss or answer that this daemon
        noted itself.
    """

    runs: dict[Incarnation, LostRun] = dataclasses.field(default_factory=dict)
    answered_at: float = -math.inf
    own_news_at: float = -math.inf

    @property
    def newest_at(self) -> float:
        """Time of the newest loss."""
        return max(
            (run.lost_at for run in self.runs.values()), default=-math.inf
        )

    @property
    def targets(self) -> list[TargetName]:
        """Targets that ended and still count."""
        return [run.target for run in self._list_ended()]

    def note_run(self, run: LostRun) -> None:
        """Merge one lost run."""
        key = run.target, run.born
        known = self.runs.get(key)
        self.runs[key] = run if known is None else known.merge(run)
        if len(self.runs) > RUNS_LIMIT:
            oldest = min(self.runs, key=lambda each: self.runs[each].lost_at)
            self.runs.pop(oldest)

    def note_answer(self, answered_at: float) -> None:
        """Note a complete answer."""
        self.answered_at = max(self.answered_at, answered_at)

    def count_proven(self) -> int:
        """Count the incarnations that ended one after another."""
        return count_successive(self._list_ended())

    def count_suspected(self) -> int:
        """Count the incarnations that ended, or may have, in succession."""
        return count_successive(self._list_counted())

    def _list_ended(self) -> list[LostRun]:
        return [run for run in self._list_counted() if run.fate is Fate.ENDED]

    def _list_counted(self) -> list[LostRun]:
        return [
            run
            for run in self.runs.values()
            if run.fate is not Fate.SURVIVED and run.lost_at > self.answered_at
        ]


def count_successive(runs: Iterable[LostRun]) -> int:
    """Count the runs that were each sent after the one before was lost.

    Repeats of a request that crashes its targets follow each other. Equal
    requests at several targets that lose power together do not.
    """
    count = 0
    newest = -math.inf
    for run in sorted(runs, key=lambda each: each.lost_at):
        if run.sent_at >= newest - ORDER_TOLERANCE_SECONDS:
            count += 1
            newest = run.lost_at
    return count

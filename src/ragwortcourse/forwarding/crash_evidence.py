"""Evidence that one suspect crashes the targets that run it."""

import dataclasses
import math
from typing import Final

from ragwortcourse.forwarding.crash_rules import CrashRules
from ragwortcourse.forwarding.lost_run import Fate, LostRun
from ragwortcourse.identifiers import TargetName

# More than the crashes after which any suspect is refused.
RUNS_LIMIT: Final = 16

Incarnation = tuple[TargetName, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class CrashEvidence:
    """Lost runs under one suspect, at most one for each incarnation.

    Times are seconds of the clock that runs during suspension.

    :param answered_at: time of the newest answer that clears the suspect; runs
        lost before do not count.
    :param trial_at: time at which the newest trial of a refused suspect was
        sent.
    :param own_news_at: time of the newest loss, answer or trial that this
        daemon noted itself.
    :param sends: rounds of messages in which these news were sent.
    """

    rules: CrashRules
    runs: dict[Incarnation, LostRun] = dataclasses.field(default_factory=dict)
    answered_at: float = -math.inf
    trial_at: float = -math.inf
    own_news_at: float = -math.inf
    sends: int = 0

    @property
    def newest_at(self) -> float:
        """Time of the newest loss."""
        return max(
            (run.ended_at for run in self.runs.values()), default=-math.inf
        )

    @property
    def targets(self) -> list[TargetName]:
        """Targets that ended and still count."""
        return [run.target for run in self._list_ended()]

    def note_loss(self, run: LostRun) -> None:
        """Note a run that was just lost.

        A loss that the incarnation has outlived, or that an answer has
        cleared, says nothing about this one.
        """
        known = self.runs.get((run.target, run.born))
        if known is None:
            self.note_run(run)
            return
        is_cleared = known.lost_at <= self.answered_at
        is_over = known.fate is Fate.SURVIVED or is_cleared
        is_later = is_over and known.sent_at < run.sent_at
        losses = known.losses + is_later
        self.note_run(dataclasses.replace(run, losses=losses))

    def note_run(self, run: LostRun) -> None:
        """Merge one lost run."""
        key = run.target, run.born
        known = self.runs.get(key)
        self.runs[key] = run if known is None else known.merge(run)
        if len(self.runs) > RUNS_LIMIT:
            oldest = min(self.runs, key=lambda each: self.runs[each].lost_at)
            self.runs.pop(oldest)

    def note_own_news(self, at: float) -> None:
        """Note what this daemon saw itself."""
        self.own_news_at = at
        self.sends = 0

    def note_answer(self, answered_at: float) -> None:
        """Note an answer that clears the suspect."""
        self.answered_at = max(self.answered_at, answered_at)

    def note_trial(self, trial_at: float) -> None:
        """Note a trial."""
        self.trial_at = max(self.trial_at, trial_at)

    def merge(self, other: 'CrashEvidence') -> None:
        """Merge what another daemon knows."""
        for run in other.runs.values():
            self.note_run(run)
        self.note_answer(other.answered_at)
        self.note_trial(other.trial_at)

    def count_proven(self) -> int:
        """Count the crashes that are certain."""
        return self.rules.count_runs(self._list_ended())

    def count_suspected(self) -> int:
        """Count the crashes that are certain, or not known yet."""
        return self.rules.count_runs(self._list_counted())

    def find_refused_since(self) -> float:
        """Find when the crashes became too many.

        :return: infinite if there are not enough of them.
        """
        losses = sorted(run.lost_at for run in self._list_counted())
        index = self.rules.refused_from - 1
        return losses[index] if index < len(losses) else math.inf

    def _list_ended(self) -> list[LostRun]:
        return [run for run in self._list_counted() if run.fate is Fate.ENDED]

    def _list_counted(self) -> list[LostRun]:
        return [run for run in self.runs.values() if self._is_counted(run)]

    def _is_counted(self, run: LostRun) -> bool:
        if run.lost_at <= self.answered_at:
            return False
        if run.fate is Fate.UNKNOWN:
            return run.end >= self.rules.suspected_end
        return run.fate is Fate.ENDED

"""Detection of what crashes the targets of a forwarder.

Load pattern: one request, or each request with one part in its prompt, ends
the target that runs it, and callers send them to any daemon, while targets
also end for other reasons under many innocent requests.
"""

import dataclasses
import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import (
    SUSPICION_SECONDS,
    EvidenceStore,
)
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.crashes.verdict import Verdict, judge_suspect
from ragwortcourse.forwarding.closed_answers import ClosedAnswers
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.crash_rules import RULES
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.lost_run import Fate, LostRun, RunEnd
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName

# Suspected crashes from which a request runs at one target at a time and is
# not repeated.
CRASHES_TO_SINGLE: Final = 2
EVIDENCE_LIMIT: Final = 512
# An incarnation that is still listed this long after it lost an answer has
# survived.
SURVIVAL_SECONDS: Final = 10.0
# Evidence that no longer counts is kept for reports that are on their way.
SETTLED_SECONDS: Final = 30.0

LOGGER: Final = logging.getLogger(__name__)
METER: Final = metrics.get_meter(__name__)
CRASHES: Final = METER.create_counter(
    'ragwortcourse.forwarding.crashes',
    description='targets that ended while they ran a request',
)

FindAnswered = Callable[[TargetName, int], float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """Verdict on a suspect with the counts behind it."""

    verdict: Verdict
    proven: int = 0
    suspected: int = 0


REFUSING: Final = frozenset((Verdict.HELD, Verdict.REFUSED))
ALLOWED: Final = Judgement(verdict=Verdict.ALLOWED)


class CrashGuard:
    """Evidence of one daemon, merged with that of the others.

    ``store`` holds the evidence by suspect.

    :param state: source of the listed targets.
    :param find_answered: finds when the newest request was sent that an
        incarnation has answered.
    """

    def __init__(
        self, *, state: FleetState, find_answered: FindAnswered
    ) -> None:
        self.store = EvidenceStore[Suspect, CrashEvidence](
            limit=EVIDENCE_LIMIT,
            is_kept=lambda each: each.count_suspected() >= CRASHES_TO_SINGLE,
        )
        self._state = state
        self._find_answered = find_answered
        self._closed = ClosedAnswers()
        self._store_lost_at = -math.inf

    def judge(self, suspect: Suspect) -> Judgement:
        """Judge a suspect by all evidence known now."""
        evidence = self.store.find(suspect)
        if evidence is None:
            return ALLOWED
        now = read_clock_with_suspend()
        self._settle(suspect, evidence, now)
        if now - evidence.newest_at > SUSPICION_SECONDS:
            return ALLOWED
        proven = evidence.count_proven()
        suspected = evidence.count_suspected()
        return Judgement(
            verdict=judge_suspect(
                proven=proven,
                suspected=suspected,
                refused_from=evidence.rules.refused_from,
            ),
            proven=proven,
            suspected=suspected,
        )

    def note_sent(self, suspects: Iterable[Suspect]) -> None:
        """Note that a request is sent, as a trial if a suspect is refused."""
        now = read_clock_with_suspend()
        for suspect in suspects:
            evidence = self.store.find(suspect)
            if evidence is None or self.judge(suspect).verdict not in REFUSING:
                continue
            LOGGER.info(
                'request sent as a trial of a refused suspect',
                extra=suspect.describe(),
            )
            evidence.note_own_news(now)
            evidence.note_trial(now)

    def note_lost(self, suspects: Iterable[Suspect], run: LostRun) -> None:
        """Note that the answer of a target to a request was lost.

        :param suspects: what may have crashed the target.
        """
        listed = self._state.targets.get(run.target)
        if listed is not None and listed.leaving:
            # A leaving target may cut answers without a crash.
            return
        now = read_clock_with_suspend()
        for suspect in suspects:
            evidence = self._find(suspect)
            self._settle(suspect, evidence, now)
            evidence.note_loss(run)
            evidence.note_own_news(now)

    def note_survived(
        self, suspects: Iterable[Suspect], target: Target
    ) -> None:
        """Note that a target lives whose silence was noted as a loss."""
        for suspect in suspects:
            evidence = self.store.find(suspect)
            if evidence is None:
                continue
            known = evidence.runs.get((target.name, target.born))
            if known is not None:
                survived = dataclasses.replace(known, fate=Fate.SURVIVED)
                evidence.note_run(survived)
                evidence.note_own_news(read_clock_with_suspend())

    def merge(self, suspect: Suspect, evidence: CrashEvidence) -> None:
        """Merge the evidence of another daemon."""
        self._find(suspect).merge(evidence)

    def note_closed(self, suspects: Iterable[Suspect], run: LostRun) -> None:
        """Note an answer that ended with its connection.

        It clears suspects once its target is known to live, and counts
        against them once the target is known to have ended.
        """
        self._closed.add(suspects, run)

    def note_refused(self, target: Target) -> None:
        """Note that nothing listens at the address of a target."""
        for closed in self._closed.take_of(target):
            # The fate is still open: the target may be out of connections.
            cut = dataclasses.replace(closed.run, end=RunEnd.CUT)
            self.note_lost(closed.suspects, cut)

    def note_answered(
        self, suspects: Iterable[Suspect], answered_at: float | None = None
    ) -> None:
        """Note an answer that clears suspects: they do not crash targets.

        :param answered_at: seconds of the clock that runs during suspension;
            none for now.
        """
        now = read_clock_with_suspend()
        for suspect in suspects:
            evidence = self.store.find(suspect)
            if evidence is None:
                continue
            if evidence.count_suspected():
                LOGGER.info(
                    'suspect was answered, its crashes no longer count',
                    extra=suspect.describe(),
                )
            evidence.note_own_news(now)
            evidence.note_answer(now if answered_at is None else answered_at)

    def settle(self) -> None:
        """Find out which incarnations ended, and drop settled evidence."""
        now = read_clock_with_suspend()
        if self._state.store_lost:
            self._store_lost_at = now
        self._settle_closed(now)
        for suspect, evidence in tuple(self.store.list_items()):
            self._settle(suspect, evidence, now)
            kept = (
                SUSPICION_SECONDS
                if evidence.count_suspected()
                else SETTLED_SECONDS
            )
            if now - max(evidence.newest_at, evidence.answered_at) > kept:
                self.store.remove(suspect)

    def _find(self, suspect: Suspect) -> CrashEvidence:
        evidence = self.store.find(suspect)
        if evidence is None:
            evidence = CrashEvidence(rules=RULES[suspect.kind])
            self.store.add(suspect, evidence)
        return evidence

    def _settle_closed(self, now: float) -> None:
        fates = self._closed.take_known(lambda run: self._read_fate(run, now))
        for closed, fate in fates:
            if fate is Fate.SURVIVED:
                self.note_answered(closed.suspects, closed.run.lost_at)
            else:
                self.note_lost(closed.suspects, closed.run)

    def _settle(
        self, suspect: Suspect, evidence: CrashEvidence, now: float
    ) -> None:
        for key, run in tuple(evidence.runs.items()):
            fate = self._read_fate(run, now)
            if fate > run.fate:
                evidence.runs[key] = dataclasses.replace(run, fate=fate)
                if fate is Fate.ENDED and suspect.kind is SuspectKind.REQUEST:
                    CRASHES.add(1)
                if _is_logged(evidence):
                    _log_fate(suspect, evidence, run, fate)

    def _read_fate(self, run: LostRun, now: float) -> Fate:
        if self._find_answered(run.target, run.born) > run.ended_at:
            return Fate.SURVIVED
        if run.fate is not Fate.UNKNOWN or not self._state.targets_known:
            return run.fate
        listed = self._state.targets.get(run.target)
        if listed is None or listed.born != run.born:
            return Fate.ENDED
        # Rows do not change while the store is away.
        known_since = max(run.ended_at, self._store_lost_at)
        if listed.leaving or now - known_since > SURVIVAL_SECONDS:
            return Fate.SURVIVED
        return Fate.UNKNOWN


def _is_logged(evidence: CrashEvidence) -> bool:
    """Tell whether to log the fates of targets under a suspect.

    Most evidence that other daemons report is against innocent suspects.
    """
    return (
        math.isfinite(evidence.own_news_at)
        or evidence.count_suspected() >= CRASHES_TO_SINGLE
    )


def _log_fate(
    suspect: Suspect, evidence: CrashEvidence, run: LostRun, fate: Fate
) -> None:
    LOGGER.info(
        'target ended under a request'
        if fate is Fate.ENDED
        else 'target outlived a lost answer, no crash counted',
        extra={
            **suspect.describe(),
            'target': run.target,
            'born': run.born,
            'crashes': evidence.count_proven(),
            'seconds_ago': read_clock_with_suspend() - run.ended_at,
            'end': run.end.name.lower(),
            'answered_since': evidence.answered_at >= run.lost_at,
        },
    )

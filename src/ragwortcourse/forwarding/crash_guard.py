"""Detection of requests that crash the targets of a forwarder.

Load pattern: one request ends each target that runs it, and its caller sends
it again to any daemon, while targets also end for other reasons under many
innocent requests.
"""

import contextlib
import dataclasses
import logging
import math
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import (
    SUSPICION_SECONDS,
    EvidenceStore,
)
from ragwortcourse.crashes.verdict import Verdict, judge_request
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.lost_run import Fate, LostRun
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.identifiers import Fingerprint, TargetName

# A dozen requests lose their answers in one crash; two may follow each other
# by chance.
CRASHES_TO_REFUSE: Final = 3
# Suspected crashes from which a request runs at one target at a time and is
# not repeated.
CRASHES_TO_SINGLE: Final = 2
SINGLE_RETRY_SECONDS: Final = 0.5
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
    """Verdict on a request with the counts behind it."""

    verdict: Verdict
    proven: int = 0
    suspected: int = 0


ALLOWED: Final = Judgement(verdict=Verdict.ALLOWED)


class CrashGuard:
    """Evidence of one daemon, merged with that of the others.

    ``store`` holds the evidence by request fingerprint.

    :param state: source of the listed targets.
    :param find_answered: finds when the newest request was sent that an
        incarnation has answered.
    """

    def __init__(
        self, *, state: FleetState, find_answered: FindAnswered
    ) -> None:
        self.store = EvidenceStore[CrashEvidence](
            limit=EVIDENCE_LIMIT,
            is_kept=lambda each: each.count_proven() >= CRASHES_TO_SINGLE,
        )
        self._state = state
        self._find_answered = find_answered
        self._running: Counter[Fingerprint] = Counter()
        self._store_lost_at = -math.inf

    def judge(self, fingerprint: Fingerprint) -> Judgement:
        """Judge a request by all evidence known now."""
        evidence = self.store.find(fingerprint)
        if evidence is None:
            return ALLOWED
        now = read_clock_with_suspend()
        self._settle(fingerprint, evidence, now)
        if now - evidence.newest_at > SUSPICION_SECONDS:
            return ALLOWED
        proven = evidence.count_proven()
        suspected = evidence.count_suspected()
        return Judgement(
            verdict=judge_request(
                proven=proven,
                suspected=suspected,
                refused_from=CRASHES_TO_REFUSE,
            ),
            proven=proven,
            suspected=suspected,
        )

    def allows_repeat(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request may be sent to one more target at once."""
        return self.judge(fingerprint).suspected < CRASHES_TO_SINGLE

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Check whether a request may run now.

        :return: the refusal of a request that has not been sent; none if it
            may run.
        """
        judgement = self.judge(fingerprint)
        evidence = self.store.find(fingerprint)
        waits = {
            Verdict.REFUSED: SUSPICION_SECONDS,
            Verdict.HELD: SURVIVAL_SECONDS,
        }
        wait = waits.get(judgement.verdict)
        if (
            judgement.suspected >= CRASHES_TO_SINGLE
            and fingerprint in self._running
        ):
            wait = wait or SINGLE_RETRY_SECONDS
        if wait is None or evidence is None:
            return None
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            retry_after=wait,
            inputs={
                'fingerprint': fingerprint,
                'verdict': judgement.verdict.value,
                'crashes': judgement.proven,
                'crashes_suspected': judgement.suspected,
                'targets': evidence.targets,
            },
        )

    @contextlib.contextmanager
    def count_running(self, fingerprint: Fingerprint) -> Iterator[None]:
        """Count a request as running until the context ends."""
        self._running[fingerprint] += 1
        try:
            yield
        finally:
            self._running[fingerprint] -= 1
            if not self._running[fingerprint]:
                self._running.pop(fingerprint)

    def note_lost(self, fingerprint: Fingerprint, run: LostRun) -> None:
        """Note that the answer of a target to a request was lost."""
        listed = self._state.targets.get(run.target)
        if listed is not None and listed.leaving:
            # A leaving target may cut answers without a crash.
            return
        evidence = self._find(fingerprint)
        evidence.note_run(run)
        evidence.own_news_at = run.lost_at

    def merge_run(self, fingerprint: Fingerprint, run: LostRun) -> None:
        """Merge a lost run of any daemon."""
        self._find(fingerprint).note_run(run)

    def note_answered(self, fingerprint: Fingerprint) -> None:
        """Note a complete answer: the request does not crash its targets."""
        evidence = self.store.find(fingerprint)
        if evidence is None:
            return
        if evidence.count_suspected():
            LOGGER.info(
                'suspected request was answered, its crashes no longer count',
                extra={'fingerprint': fingerprint},
            )
        evidence.own_news_at = read_clock_with_suspend()
        evidence.note_answer(evidence.own_news_at)

    def merge_answer(
        self, fingerprint: Fingerprint, answered_at: float
    ) -> None:
        """Merge a complete answer that another daemon noted."""
        self._find(fingerprint).note_answer(answered_at)

    def settle(self) -> None:
        """Find out which incarnations ended, and drop settled evidence."""
        now = read_clock_with_suspend()
        if self._state.store_lost:
            self._store_lost_at = now
        for fingerprint, evidence in tuple(self.store.list_items()):
            self._settle(fingerprint, evidence, now)
            kept = (
                SUSPICION_SECONDS
                if evidence.count_suspected()
                else SETTLED_SECONDS
            )
            if now - max(evidence.newest_at, evidence.answered_at) > kept:
                self.store.remove(fingerprint)

    def _find(self, fingerprint: Fingerprint) -> CrashEvidence:
        evidence = self.store.find(fingerprint)
        if evidence is None:
            evidence = CrashEvidence()
            self.store.add(fingerprint, evidence)
        return evidence

    def _settle(
        self, fingerprint: str, evidence: CrashEvidence, now: float
    ) -> None:
        for key, run in tuple(evidence.runs.items()):
            fate = self._read_fate(run, now)
            if fate > run.fate:
                evidence.runs[key] = dataclasses.replace(run, fate=fate)
                if fate is Fate.ENDED:
                    CRASHES.add(1)
                if _is_logged(evidence):
                    _log_fate(fingerprint, evidence, run, fate)

    def _read_fate(self, run: LostRun, now: float) -> Fate:
        if self._find_answered(run.target, run.born) > run.lost_at:
            return Fate.SURVIVED
        if run.fate is not Fate.UNKNOWN or not self._state.targets_known:
            return run.fate
        listed = self._state.targets.get(run.target)
        if listed is None or listed.born != run.born:
            return Fate.ENDED
        # Rows do not change while the store is away.
        known_since = max(run.lost_at, self._store_lost_at)
        if listed.leaving or now - known_since > SURVIVAL_SECONDS:
            return Fate.SURVIVED
        return Fate.UNKNOWN


def _is_logged(evidence: CrashEvidence) -> bool:
    """Tell whether to log the fates of targets that ran a request.

    Most evidence that other daemons report is against innocent requests.
    """
    return (
        math.isfinite(evidence.own_news_at)
        or evidence.count_suspected() >= CRASHES_TO_SINGLE
    )


def _log_fate(
    fingerprint: str, evidence: CrashEvidence, run: LostRun, fate: Fate
) -> None:
    LOGGER.info(
        'target ended under a request'
        if fate is Fate.ENDED
        else 'target outlived a lost answer, no crash counted',
        extra={
            'fingerprint': fingerprint,
            'target': run.target,
            'born': run.born,
            'crashes': evidence.count_proven(),
            'seconds_ago': read_clock_with_suspend() - run.lost_at,
            'answered_since': evidence.answered_at >= run.lost_at,
        },
    )

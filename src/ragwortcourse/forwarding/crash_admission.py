"""Admission of requests that may crash targets."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.crashes.suspect import Suspect
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_guard import (
    CRASHES_TO_SINGLE,
    SURVIVAL_SECONDS,
    CrashGuard,
    Judgement,
)
from ragwortcourse.forwarding.crash_trials import (
    STEP_SECONDS,
    compute_trial_time,
    may_send_trial,
)
from ragwortcourse.forwarding.reply import Reason, Refusal
from ragwortcourse.identifiers import DaemonId

SINGLE_RETRY_SECONDS: Final = 0.5
WAITS: Final = {
    Verdict.REFUSED: SUSPICION_SECONDS,
    Verdict.HELD: SURVIVAL_SECONDS,
}


class CrashAdmission:
    """Decision whether requests of one daemon may run, by their suspects.

    :param own: name of this daemon.
    :param count_daemons: counts the daemons that get requests.
    """

    def __init__(
        self,
        *,
        guard: CrashGuard,
        own: DaemonId,
        count_daemons: Callable[[], int],
    ) -> None:
        self._guard = guard
        self._own = own
        self._count_daemons = count_daemons
        self._running: Counter[Suspect] = Counter()

    def allows_repeat(self, suspects: Iterable[Suspect]) -> bool:
        """Tell whether a request may be sent to one more target at once."""
        return all(
            self._guard.judge(suspect).suspected < CRASHES_TO_SINGLE
            for suspect in suspects
        )

    def check(
        self, suspects: Iterable[Suspect], *, running: int = 0
    ) -> Refusal | None:
        """Check whether a request may run now.

        :param running: 1 if the request itself is counted as running.
        :return: the refusal of a request that has not been sent, by its
            gravest suspect; none if it may run.
        """
        refusals = (self._check_suspect(each, running) for each in suspects)
        return max(
            (each for each in refusals if each is not None),
            key=lambda each: each.retry_after or 0,
            default=None,
        )

    @contextlib.contextmanager
    def count_running(self, suspects: Iterable[Suspect]) -> Iterator[None]:
        """Count a request as running until the context ends."""
        counted = tuple(suspects)
        self._running.update(counted)
        try:
            yield
        finally:
            self._running.subtract(counted)
            for suspect in counted:
                if not self._running[suspect]:
                    self._running.pop(suspect)

    def _check_suspect(self, suspect: Suspect, running: int) -> Refusal | None:
        judgement = self._guard.judge(suspect)
        if judgement.suspected < CRASHES_TO_SINGLE:
            return None
        wait = self._compute_wait(suspect, judgement)
        if not wait and self._running[suspect] > running:
            wait = SINGLE_RETRY_SECONDS
        evidence = self._guard.store.find(suspect)
        if not wait or evidence is None:
            return None
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            retry_after=wait,
            inputs={
                **suspect.describe(),
                'verdict': judgement.verdict.value,
                'crashes': judgement.proven,
                'crashes_suspected': judgement.suspected,
                'targets': evidence.targets,
            },
        )

    def _compute_wait(self, suspect: Suspect, judgement: Judgement) -> float:
        """Compute the seconds for which a suspect is refused; zero for none."""
        evidence = self._guard.store.find(suspect)
        wait = WAITS.get(judgement.verdict, 0)
        if not wait or evidence is None or not evidence.rules.has_trials:
            return wait
        due = read_clock_with_suspend() - compute_trial_time(evidence)
        is_sender = may_send_trial(
            suspect,
            seconds_due=due,
            own=self._own,
            daemons=self._count_daemons(),
        )
        return 0 if is_sender else max(-due, STEP_SECONDS)

"""Rules by which crashes count against each kind of suspect.

A request has a body of its own, so its runs follow each other, and losses at
one moment have another cause. Requests that share a part run side by side,
so that each crash under the part counts. Popular parts also stand under
crashes that they did not cause, and need more of them.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from ragwortcourse.crashes.suspect import SuspectKind
from ragwortcourse.forwarding.lost_run import LostRun, RunEnd

# A dozen requests lose their answers in one crash; two may follow each other
# by chance.
CRASHES_TO_REFUSE: Final = 3
# Where a third of the targets is lost, a sound part loses five requests out of
# five once in 243 times, and three out of three once in 27.
PART_CRASHES_TO_REFUSE: Final = 5
# Tolerance for the transit time of reports of other daemons.
ORDER_TOLERANCE_SECONDS: Final = 0.02
# Targets that end within this time have a common cause.
SAME_MOMENT_SECONDS: Final = 0.05

CountRuns = Callable[[Iterable[LostRun]], int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashRules:
    """How crashes count against one kind of suspect.

    :param refused_from: number of crashes from which requests are refused.
    :param suspected_end: a run that was lost in this way, or in one of a
        higher value, counts while the fate of its target is not known.
    :param has_trials: true if a refused request may run as a trial.
    """

    refused_from: int
    count_runs: CountRuns
    suspected_end: RunEnd
    has_trials: bool


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


def count_moments(runs: Iterable[LostRun]) -> int:
    """Count the moments at which runs were lost."""
    count = 0
    counted_at = -math.inf
    for lost_at in sorted(run.lost_at for run in runs):
        if lost_at >= counted_at + SAME_MOMENT_SECONDS:
            count += 1
            counted_at = lost_at
    return count


RULES: Final[Mapping[SuspectKind, CrashRules]] = {
    SuspectKind.REQUEST: CrashRules(
        refused_from=CRASHES_TO_REFUSE,
        count_runs=count_successive,
        suspected_end=RunEnd.SILENT,
        has_trials=False,
    ),
    SuspectKind.PROMPT_PART: CrashRules(
        refused_from=PART_CRASHES_TO_REFUSE,
        count_runs=count_moments,
        # Targets of a lost failure domain fall silent one after another.
        suspected_end=RunEnd.CUT,
        has_trials=True,
    ),
}

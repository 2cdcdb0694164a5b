"""Times at which a refused suspect may run once more.

Load pattern: a part that many requests share stands under crashes that it did
not cause, and all of its requests are refused. Only an answer can clear it.
Most parts that are refused do crash targets, and each trial costs one.
"""

from typing import Final

from ragwortcourse.crashes.suspect import Suspect
from ragwortcourse.forwarding.crash_evidence import CrashEvidence
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.rendezvous import SCORE_RANGE, score_pair

# By then the requests that were under way at the last crash are answered.
FIRST_TRIAL_SECONDS: Final = 2.0
# After each failed trial the next one comes ten times as long after the first
# refusal.
TRIAL_GROWTH: Final = 9.0
# Twice as many daemons may send a trial after each of these steps, as the
# first ones may get no such request. A target begins to answer in this time.
STEP_SECONDS: Final = 1.0


def compute_trial_time(evidence: CrashEvidence) -> float:
    """Compute when a refused suspect may run as a trial.

    :return: seconds of the clock that runs during suspension.
    """
    # A trial counts as lost until its answer clears the suspect.
    newest_at = max(evidence.newest_at, evidence.trial_at)
    refused_for = newest_at - evidence.find_refused_since()
    return newest_at + max(FIRST_TRIAL_SECONDS, refused_for * TRIAL_GROWTH)


def may_send_trial(
    suspect: Suspect, *, seconds_due: float, own: DaemonId, daemons: int
) -> bool:
    """Tell whether this daemon is one of those that may send a trial.

    :param seconds_due: time since a trial is due.
    :param daemons: number of daemons that get such requests.
    """
    if seconds_due < 0:
        return False
    score = score_pair(suspect.name, own) / SCORE_RANGE
    doublings = min(int(seconds_due / STEP_SECONDS), daemons)
    return score * daemons < 1 << doublings

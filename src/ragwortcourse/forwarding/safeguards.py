"""Protections of targets that entry daemons keep together."""

import dataclasses

from ragwortcourse.forwarding.crash_admission import CrashAdmission
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.daemon_ranking import DaemonRanking
from ragwortcourse.forwarding.fleet_retry_budget import FleetRetryBudget
from ragwortcourse.forwarding.target_limits import TargetLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Safeguards:
    """Protections that bind the entry daemons of a fleet in sum."""

    retry_budget: FleetRetryBudget
    crash_guard: CrashGuard
    crash_admission: CrashAdmission
    daemon_ranking: DaemonRanking
    target_limits: TargetLimits

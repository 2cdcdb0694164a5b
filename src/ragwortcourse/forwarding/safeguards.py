"""Protections of targets."""

import dataclasses

from ragwortcourse.entry.retry_scheduler import RetryScheduler
from ragwortcourse.forwarding.crash_admission import CrashAdmission
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.daemon_ranking import DaemonRanking
from ragwortcourse.forwarding.retries.fleet_retry_budget import (
    FleetRetryBudget,
)
from ragwortcourse.forwarding.retries.retry_exchange import RetryExchange
from ragwortcourse.forwarding.target_limits import TargetLimits
from ragwortcourse.forwarding.target_rests import TargetRests


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Safeguards:
    """Protections that entry daemons keep in sum, and those of one daemon.

    :param target_rests: times for which targets want nothing.
    :param retry_scheduler: times at which refused callers return.
    """

    retry_budget: FleetRetryBudget
    retry_exchange: RetryExchange
    crash_guard: CrashGuard
    crash_admission: CrashAdmission
    daemon_ranking: DaemonRanking
    target_limits: TargetLimits
    target_rests: TargetRests
    retry_scheduler: RetryScheduler

"""Limits that targets name for all entry daemons together.

Load pattern: a target in need takes a request or two a second, while every
daemon sends it what looks like a fair part.
"""

import dataclasses
import logging
import math
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.daemon_ranking import DaemonRanking
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_limit import NamedLimit
from ragwortcourse.forwarding.rate_share import (
    MIN_BURST,
    compute_burst,
    compute_share,
)
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import TargetName

# A target that takes no requests still gets one in this time: only an answer
# tells that its limit has ended.
TRIAL_SECONDS: Final = 10.0
# Without an answer for this long, or for the time of two requests, daemons
# that send nothing else to the target may be the ones that should send.
UNANSWERED_SECONDS: Final = 3.0
UNANSWERED_REQUESTS: Final = 2
SPARE_DAEMONS: Final = 2
# A limit that has ended is remembered for reports that are on their way.
ENDED_SECONDS: Final = 60.0
# Shares follow the daemons that are alive within this time.
SHARE_SECONDS: Final = 0.2

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Allowance:
    """Requests that this daemon may send to one incarnation of a target.

    :param share: requests a second.
    :param tokens: requests that may be sent now.
    """

    born: int
    share: float = 0
    tokens: float = 0
    at: float = -math.inf


class TargetLimits:
    """Limits of targets as known to one daemon.

    :param state: source of the listed targets.
    """

    def __init__(self, *, state: FleetState, ranking: DaemonRanking) -> None:
        self._state = state
        self._ranking = ranking
        self._limits: dict[TargetName, NamedLimit] = {}
        self._own_news_at: dict[TargetName, float] = {}
        self._allowances: dict[TargetName, _Allowance] = {}

    def find_rate(self, target: Target) -> float | None:
        """Find the limit of a target in requests a second; none: no limit."""
        limit = self._limits.get(target.name)
        if limit is None or limit.born != target.born:
            return None
        return limit.rate

    def note_answer(self, target: Target, rate: float | None) -> None:
        """Note the limit in an answer of a target.

        :param rate: requests a second; none if the answer names no limit.
        """
        if rate is None and self.find_rate(target) is None:
            return
        now = read_clock_with_suspend()
        limit = NamedLimit(
            target=target.name, born=target.born, rate=rate, named_at=now
        )
        self._own_news_at[target.name] = now
        self.merge(limit)

    def merge(self, limit: NamedLimit) -> None:
        """Merge a limit that any daemon noted; the newest one holds."""
        known = self._limits.get(limit.target)
        if known is not None and not limit.replaces(known):
            return
        self._limits[limit.target] = limit
        before = None if known is None else known.rate
        if before != limit.rate:
            LOGGER.info(
                'target names no limit any more'
                if limit.rate is None
                else 'target names a limit',
                extra={
                    'target': limit.target,
                    'born': limit.born,
                    'rate': limit.rate,
                    'before': before,
                    'seconds_ago': read_clock_with_suspend() - limit.named_at,
                },
            )

    def has_room(self, target: Target) -> bool:
        """Tell whether this daemon may send one more request to a target."""
        if self.find_rate(target) is None:
            return True
        return self._refill(target).tokens >= 1

    def count_sent(self, target: Target) -> None:
        """Count a request sent to a target."""
        if self.find_rate(target) is not None:
            self._refill(target).tokens -= 1

    def list_since(self, since: float) -> list[NamedLimit]:
        """List the limits in answers to this daemon since a time."""
        return [
            self._limits[name]
            for name, noted_at in self._own_news_at.items()
            if noted_at > since
        ]

    def list_all(self) -> list[NamedLimit]:
        """List all limits, those that ended recently included."""
        return list(self._limits.values())

    def drop_gone(self) -> None:
        """Drop limits of targets that are gone, and those that ended."""
        now = read_clock_with_suspend()
        for name, limit in tuple(self._limits.items()):
            listed = self._state.targets.get(name)
            is_gone = listed is None or listed.born > limit.born
            age = now - limit.named_at
            if (is_gone or limit.rate is None) and age > ENDED_SECONDS:
                self._limits.pop(name)
                self._own_news_at.pop(name, None)
                self._allowances.pop(name, None)

    def _refill(self, target: Target) -> _Allowance:
        now = read_clock_with_suspend()
        known = self._allowances.get(target.name)
        if known is None or known.born != target.born:
            share = self._compute_share(target, now)
            known = _Allowance(
                born=target.born,
                share=share,
                tokens=MIN_BURST if share else 0,
                at=now,
            )
            self._allowances[target.name] = known
        elapsed = now - known.at
        if elapsed > SHARE_SECONDS:
            known.tokens = min(
                known.tokens + known.share * elapsed,
                compute_burst(known.share) if known.share else 0,
            )
            known.share = self._compute_share(target, now)
            known.at = now
        return known

    def _compute_share(self, target: Target, now: float) -> float:
        limit = self._limits[target.name]
        rate = max(limit.rate or 0, 1 / TRIAL_SECONDS)
        patience = max(UNANSWERED_SECONDS, UNANSWERED_REQUESTS / rate)
        unanswered = now - limit.named_at - patience
        return compute_share(
            rate=rate,
            ranked=self._ranking.rank_alive(target),
            own=self._ranking.own,
            spare=min(max(math.ceil(unanswered), 0), SPARE_DAEMONS),
        )

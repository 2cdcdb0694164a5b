"""Paces of all targets, from their reports and the news of other daemons.

Load pattern: each of many daemons gets a few reports of each target in ten
seconds, and all together get one while its pace lasts. Daemons therefore tell
each other of paces out of the ordinary, in messages that they send anyhow.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Final

from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.balancing.pace_mean import PaceMean
from ragwortcourse.forwarding.balancing.target_pace import (
    HOLD_SECONDS,
    UNKNOWN_PACE,
    PaceEstimate,
    TargetPace,
)
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ServiceName, TargetName

# A service reports paces for this long after the last report of one.
REPORTING_SECONDS: Final = 30.0
# Change of a pace that other daemons are told of, in multiples of the usual
# time: the expected seconds of usual targets differ by as much.
NEWS_CHANGE: Final = 0.25

# Target, pace and monotonic seconds of the report.
PaceNews = tuple[TargetName, float, float]


class TargetPaces:
    """Paces of the targets that report one.

    :param state: source of the listed targets.
    """

    def __init__(self, *, state: FleetState) -> None:
        self._state = state
        self._fleet = PaceMean()
        self._paces: dict[TargetName, TargetPace] = {}
        self._reported_at: dict[ServiceName, float] = {}
        # Reports to this daemon that others may not expect; the newest last.
        self._news: dict[TargetName, tuple[float, float]] = {}

    def note_report(
        self, target: Target, load: ReportedLoad, now: float
    ) -> None:
        """Note a load report of a target, which may lack a pace."""
        listed = self._state.targets.get(target.name, target)
        if target.born < listed.born:
            # An answer of a former incarnation.
            return
        if load.pace is None:
            self._paces.pop(target.name, None)
            self._news.pop(target.name, None)
            return
        self._reported_at[target.service] = now
        self._fleet.note(load.pace, now)
        known = self._find(target) or self._make(target)
        expected = known.last if known.weigh_last(now) else self._fleet.mean
        known.note_report(load.pace, now)
        if abs(load.pace - expected) >= NEWS_CHANGE or (
            load.pace >= self._fleet.mean + NEWS_CHANGE
        ):
            self._news.pop(target.name, None)
            self._news[target.name] = load.pace, now

    def note_news(self, news: Iterable[PaceNews]) -> None:
        """Note paces that another daemon was told."""
        for name, pace, at in news:
            target = self._state.targets.get(name)
            if target is not None:
                known = self._find(target) or self._make(target)
                known.note_news(pace, at)
                self._reported_at[target.service] = max(
                    self._reported_at.get(target.service, -math.inf), at
                )

    def list_news(self, since: float) -> Iterator[PaceNews]:
        """List reports to this daemon that other daemons may not expect.

        :param since: monotonic seconds after which the reports came.
        """
        for name, (pace, at) in reversed(self._news.items()):
            if at <= since:
                return
            yield name, pace, at

    def drop_news(self, now: float) -> None:
        """Drop the news that no longer says anything."""
        for name, (_, at) in tuple(self._news.items()):
            if now - at < HOLD_SECONDS:
                return
            self._news.pop(name)

    def reports_pace(self, service: ServiceName, now: float) -> bool:
        """Tell whether targets of a service report their pace."""
        reported_at = self._reported_at.get(service, -math.inf)
        return now - reported_at < REPORTING_SECONDS

    def count_slow(self, now: float) -> int:
        """Count the targets that are known to be slower than the mean now."""
        slow = self._fleet.mean + NEWS_CHANGE
        return sum(
            known.last >= slow and known.weigh_last(now) > 0
            for known in self._paces.values()
        )

    def estimate(self, target: Target, now: float) -> PaceEstimate:
        """Estimate the pace of a target.

        A target that has not reported one yet counts as the mean of those
        that have, if its service reports paces.
        """
        known = self._find(target)
        if known is not None:
            return known.estimate(now)
        if not self.reports_pace(target.service, now):
            return UNKNOWN_PACE
        return PaceEstimate(
            pace=self._fleet.mean, spread=math.sqrt(self._fleet.variance)
        )

    def _find(self, target: Target) -> TargetPace | None:
        known = self._paces.get(target.name)
        return None if known is None or known.born != target.born else known

    def _make(self, target: Target) -> TargetPace:
        """Make the pace of a new incarnation."""
        if len(self._paces) >= len(self._state.targets):
            self._forget_gone()
        made = TargetPace(born=target.born, fleet=self._fleet)
        self._paces[target.name] = made
        return made

    def _forget_gone(self) -> None:
        for name in self._paces.keys() - self._state.targets.keys():
            self._paces.pop(name)

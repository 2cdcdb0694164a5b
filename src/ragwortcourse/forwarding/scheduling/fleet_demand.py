"""Demand of the callers of all daemons on each service.

Load pattern: each of some tens of daemons sees a fraction of the urgent
requests, too few to tell how many slots all of them need. Daemons report
their rates, and each one sums what it was told of late.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final

from ragwortcourse.forwarding.peer_counts import FRESH_SECONDS
from ragwortcourse.forwarding.scheduling.service_demand import ServiceDemand
from ragwortcourse.forwarding.scheduling.waiting_queue import LATE
from ragwortcourse.forwarding.urgency import URGENCIES
from ragwortcourse.identifiers import DaemonId, ServiceName

# The sum is computed again after this time at the earliest, as there may be
# some hundred daemons and choices a second.
SUM_SECONDS: Final = 0.05

Demands = Mapping[ServiceName, ServiceDemand]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemandSum:
    """Demand at all other daemons that reported of late.

    :param daemons: number of these daemons.
    :param rates: requests a second by urgency.
    :param waiting: waiting requests by urgency, late ones last.
    """

    daemons: int
    rates: Sequence[float]
    waiting: Sequence[float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    demands: Demands
    at: float


class FleetDemand:
    """Last reports of other daemons, summed for each service.

    The report of a daemon that sends no more messages expires.
    """

    def __init__(self) -> None:
        self._reports: dict[DaemonId, _Report] = {}
        self._sums: dict[ServiceName, DemandSum] = {}
        self._summed_at: float = 0

    def note(self, daemon: DaemonId, demands: Demands, now: float) -> None:
        """Replace the last report of another daemon."""
        self._reports[daemon] = _Report(demands=demands, at=now)

    def sum(self, service: ServiceName, now: float) -> DemandSum:
        """Sum the demand that other daemons reported on a service."""
        if now - self._summed_at >= SUM_SECONDS:
            self._sums.clear()
            self._summed_at = now
        known = self._sums.get(service)
        if known is None:
            known = self._compute_sum(service, now)
            self._sums[service] = known
        return known

    def _compute_sum(self, service: ServiceName, now: float) -> DemandSum:
        for daemon, report in tuple(self._reports.items()):
            if now - report.at >= FRESH_SECONDS:
                self._reports.pop(daemon)
        reported = [
            fresh.demands[service]
            for fresh in self._reports.values()
            if service in fresh.demands
        ]
        return DemandSum(
            daemons=len(reported),
            rates=_add_up([demand.rates for demand in reported], URGENCIES),
            waiting=_add_up([demand.waiting for demand in reported], LATE + 1),
        )


def estimate_rates(
    *,
    recent: Sequence[float],
    steady: Sequence[float],
    others: DemandSum,
    daemons: int,
) -> list[float]:
    """Estimate the requests a second at all daemons, by urgency.

    Daemons that report nothing are taken to be like those that do; one that
    hears of no others takes itself for their mean.

    :param recent: own rates.
    :param steady: own rates over a longer time.
    :param daemons: number of registered daemons.
    """
    if not others.daemons:
        return [rate * max(daemons, 1) for rate in steady]
    scale = max(daemons / (others.daemons + 1), 1)
    return [
        (own + told) * scale
        for own, told in zip(recent, others.rates, strict=True)
    ]


def _add_up(columns: Sequence[Sequence[float]], count: int) -> list[float]:
    """Add up figures by urgency; missing ones count as zero."""
    return [
        sum(column[urgency] for column in columns if urgency < len(column))
        for urgency in range(count)
    ]

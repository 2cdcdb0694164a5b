"""Plan of the order in which named versions are downloaded.

Load pattern: operators name versions in quick succession, over links on which
a version takes a large part of the bound. An engine may begin requests on a
version until the bound after the naming of the next one. Every order of the
newer versions is played through, with the newest one last, for the time in
which the fleet, or an engine that holds nothing, has no version that may be
served. The newest version is downloaded at once unless an older one shortens
that time.
"""

import itertools
from collections.abc import Sequence
from typing import Final

from ragwortcourse.weights.planning.order_trial import (
    OrderTrial,
    VersionOrder,
    find_expiry,
)
from ragwortcourse.weights.planning.version_need import VersionNeed

# Versions before the newest that are considered.
OLDER_CONSIDERED: Final = 3


def plan_fleet(
    needs: Sequence[VersionNeed], *, held: int, now: float, bound: float
) -> VersionOrder:
    """Plan the order in which the fleet downloads versions.

    :param needs: named versions, at least one, newest last.
    :param held: version that engines of the fleet hold; zero for none.
    :param now: seconds on the clock of ``named_at``.
    :param bound: seconds after a version is named from which no request may
        begin on an older version.
    """
    older = [need for need in needs[:-1] if need.version > held]
    covered_until = now
    if held:
        covered_until = max(now, find_expiry(held, needs, bound))
    return _choose_order(
        [
            OrderTrial(
                order, needs, now=now, covered_until=covered_until, bound=bound
            )
            for order in _list_orders(older, needs[-1])
        ]
    )


def plan_empty(
    needs: Sequence[VersionNeed],
    fleet: VersionOrder,
    *,
    now: float,
    bound: float,
) -> VersionOrder:
    """Plan for an engine that holds nothing, beside the plan of the fleet.

    Older versions that the fleet does not download must not take time of the
    origin's link; they are downloaded from hosts that hold them.

    :param fleet: order in which the fleet downloads versions.
    """
    older = [
        need for need in needs[:-1] if need.is_held_elsewhere or need in fleet
    ]
    return _choose_order(
        [
            OrderTrial(order, needs, now=now, covered_until=now, bound=bound)
            for order in _list_orders(older, needs[-1])
        ]
    )


def _list_orders(
    older: Sequence[VersionNeed], newest: VersionNeed
) -> Sequence[VersionOrder]:
    """List the orders that end with the newest version, the shortest first."""
    considered = older[-OLDER_CONSIDERED:]
    return [
        (*first, newest)
        for count in range(len(considered) + 1)
        for first in itertools.combinations(considered, count)
    ]


def _choose_order(trials: Sequence[OrderTrial]) -> VersionOrder:
    """Choose the best order; the first one has the newest version alone."""
    direct = trials[0]
    better = [trial for trial in trials[1:] if trial.improves(direct)]
    return min(better, key=_read_cost, default=direct).order


def _read_cost(trial: OrderTrial) -> tuple[float, float]:
    return trial.gap, trial.risk

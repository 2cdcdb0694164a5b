"""Rank of a request in the waiting queue of an engine.

Load pattern: a burst fills the queues of engines. A request that can still
begin in time must not wait behind a request that is already late. A stream
that was moved from another engine goes first, as its caller sees a pause.
"""

import enum
from typing import Final

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.route import Route

# Less urgent priorities share the last rank.
LEAST_PRIORITY: Final = 2
# Of client accounts without a priority of their own, and of most others.
USUAL_PRIORITY: Final = 1
# Urgencies of requests that are scheduled: accounts of priority zero, then
# those of the usual priority by the priority of the route.
LEAST_URGENT: Final = USUAL_PRIORITY + LEAST_PRIORITY
URGENCIES: Final = LEAST_URGENT + 1
# Ranks between two urgencies; engines know ten ranks.
RANKS_PER_URGENCY: Final = 2


class Standing(enum.IntEnum):
    """Position of a request among requests of the same priority."""

    MOVED = 0
    FRESH = 1
    LATE = 2


def rank_request(
    *, route: Route, account: Account | None, standing: Standing
) -> int:
    """Compute the rank at an engine; zero is admitted first, eight last.

    The priority of the client account overrides the priority of the route.
    """
    priority = _read_priority(route, account)
    return min(priority, LEAST_PRIORITY) * len(Standing) + standing


def rank_scheduled(
    *, route: Route, account: Account | None, standing: Standing
) -> int:
    """Compute the rank of a request of a service that is scheduled.

    A moved stream goes beside the late requests of the next higher urgency.
    """
    urgency = read_urgency(route=route, account=account)
    return urgency * RANKS_PER_URGENCY + standing


def read_urgency(*, route: Route, account: Account | None) -> int:
    """Read how urgent a request is; zero is the most urgent.

    The priority of the client account goes before that of the route, which
    decides among accounts of the usual priority.

    :return: a number below ``URGENCIES``.
    """
    priority = None if account is None else account.priority
    if priority is None or priority == USUAL_PRIORITY:
        return USUAL_PRIORITY + min(max(route.priority, 0), LEAST_PRIORITY)
    return 0 if priority < USUAL_PRIORITY else LEAST_URGENT


def _read_priority(route: Route, account: Account | None) -> int:
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority

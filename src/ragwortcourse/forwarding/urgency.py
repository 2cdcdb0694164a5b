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
LEAST_URGENT: Final = 2
URGENCIES: Final = LEAST_URGENT + 1


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
    return min(priority, LEAST_URGENT) * len(Standing) + standing


def read_urgency(*, route: Route, account: Account | None) -> int:
    """Read how urgent a request is; zero is the most urgent.

    :return: a number below ``URGENCIES``.
    """
    return min(max(_read_priority(route, account), 0), LEAST_URGENT)


def _read_priority(route: Route, account: Account | None) -> int:
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority

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
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return min(priority, LEAST_URGENT) * len(Standing) + standing

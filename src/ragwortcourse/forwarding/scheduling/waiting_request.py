"""A request that waits at the daemon for a target."""

import asyncio
import dataclasses
from collections.abc import Callable

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import RegionName


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class WaitingRequest:
    """A request that waits at the daemon for a target.

    :param ticket: its account, and its place among requests as urgent.
    :param urgency: zero is the most urgent; ``LATE`` behind all in time.
    :param size: bytes of its body.
    :param homes: regions that its route and its account allow.
    :param fresh_until: monotonic seconds until which it may begin in time.
    :param leaves_at: monotonic seconds at which its caller is about to leave.
    :param offer: chooses its target; none while there is no room.
    :param may_stay: tells whether it waits on once it is late.
    :param refuse: builds the refusal if it waits no longer.
    :param verdict: gets the target or the refusal.
    """

    ticket: Ticket
    urgency: int
    size: int
    fresh_until: float
    leaves_at: float
    offer: Callable[[], Target | Refusal | None]
    may_stay: Callable[[], bool]
    refuse: Callable[[], Refusal]
    verdict: asyncio.Future[Target | Refusal]
    homes: tuple[frozenset[RegionName], ...] = ()

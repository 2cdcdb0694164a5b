"""Work that waits, in the order of fair shares between client accounts."""

import collections
import dataclasses
from typing import Final

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.agent.waiter import Waiter
from ragwortcourse.identifiers import ClientAccountName

LOWEST_WEIGHT: Final = 0.001


@dataclasses.dataclass(slots=True, kw_only=True)
class AccountQueue:
    """What one client account has had, and what of it waits.

    :param finish: virtual time up to which its share is used.
    """

    weight: float
    finish: float = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)

    @property
    def backlog(self) -> float:
        """Waiting work in proportion to the weight."""
        return len(self.waiters) / self.weight


class FairQueue:
    """Start-time fair queueing over client accounts.

    The start tag of an account's next work is the later of the virtual
    time and the end of its used share; the smallest tag goes first. See
    Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
    """

    def __init__(self) -> None:
        self._lines: dict[ClientAccountName, AccountQueue] = (
            collections.defaultdict(lambda: AccountQueue(weight=1))
        )
        self._virtual_time: float = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def charge(self, ticket: Ticket, cost: float) -> None:
        """Count work of an account against its share.

        :param cost: in permits of usual duration.
        """
        line = self._open_line(ticket)
        start = max(self._virtual_time, line.finish)
        line.finish = start + cost / line.weight

    def charge_unqueued(self, ticket: Ticket) -> None:
        """Charge work that need not wait."""
        line = self._open_line(ticket)
        self._virtual_time = self._read_start(line)
        self.charge(ticket, 1)

    def add(self, waiter: Waiter) -> None:
        """Let work wait, behind its account's work of the same priority."""
        line = self._open_line(waiter.ticket)
        line.waiters.append(waiter)
        line.waiters.sort(key=lambda other: -other.ticket.priority)
        self._length += 1

    def pop(self) -> Waiter:
        """Take the work that goes next, and charge it."""
        line = min(
            (line for line in self._lines.values() if line.waiters),
            key=self._read_start,
        )
        waiter = line.waiters.pop(0)
        self._length -= 1
        self._virtual_time = self._read_start(line)
        self.charge(waiter.ticket, 1)
        self._forget_idle()
        return waiter

    def discard(self, waiter: Waiter) -> bool:
        """Take one piece of work out; say whether it was there."""
        line = self._lines.get(waiter.ticket.account)
        if line is None or waiter not in line.waiters:
            return False
        line.waiters.remove(waiter)
        self._length -= 1
        return True

    def evict_for(self, ticket: Ticket) -> Waiter | None:
        """Make room for work whose account has less than the longest line.

        :return: the work that lost its place, none where there is no room.
        """
        own = self._open_line(ticket)
        longest = max(self._lines.values(), key=lambda line: line.backlog)
        backlog_with_it = (len(own.waiters) + 1) / own.weight
        if longest is own:
            last = own.waiters[-1] if own.waiters else None
            if last is None or last.ticket.priority >= ticket.priority:
                return None
        elif longest.backlog <= backlog_with_it:
            return None
        self._length -= 1
        return longest.waiters.pop()

    def clear(self) -> list[Waiter]:
        """Take everything out, in no particular order."""
        waiters = [
            waiter for line in self._lines.values() for waiter in line.waiters
        ]
        for line in self._lines.values():
            line.waiters.clear()
        self._length = 0
        return waiters

    def estimate_turns(self, ticket: Ticket) -> float:
        """Permits given to others and own work before this work's turn."""
        own = self._open_line(ticket)
        ahead = sum(
            other.ticket.priority >= ticket.priority for other in own.waiters
        )
        weights = own.weight + sum(
            line.weight
            for line in self._lines.values()
            if line.waiters and line is not own
        )
        return min((ahead + 1) * weights / own.weight, self._length + 1)

    def _open_line(self, ticket: Ticket) -> AccountQueue:
        line = self._lines[ticket.account]
        line.weight = max(ticket.weight, LOWEST_WEIGHT)
        return line

    def _read_start(self, line: AccountQueue) -> float:
        return max(self._virtual_time, line.finish)

    def _forget_idle(self) -> None:
        idle = [
            account
            for account, line in self._lines.items()
            if not line.waiters and line.finish <= self._virtual_time
        ]
        for account in idle:
            self._lines.pop(account)

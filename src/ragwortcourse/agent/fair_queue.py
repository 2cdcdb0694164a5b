"""Fair queue of waiting work, shared between client accounts."""

import collections
import dataclasses
from collections.abc import Callable, Hashable
from typing import Final, Generic, Protocol, TypeVar

from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.identifiers import ClientAccountName

LOWEST_WEIGHT: Final = 0.001


class Queued(Protocol):
    """Work with a ticket."""

    @property
    def ticket(self) -> Ticket:
        """Admission data of the work."""


Work = TypeVar('Work', bound=Queued)


@dataclasses.dataclass(slots=True, kw_only=True)
class AccountQueue(Generic[Work]):
    """Queue and used share of one client account.

    :param weight: fair-share weight of the account.
    :param finish: virtual finish time of the work charged so far.
    :param waiters: waiting work, highest priority first.
    """

    weight: float
    finish: float = 0
    waiters: list[Work] = dataclasses.field(default_factory=list)

    @property
    def backlog(self) -> float:
        """Number of waiters divided by the weight."""
        return len(self.waiters) / self.weight


class FairQueue(Generic[Work]):
    """Start-time fair queueing over client accounts.

    The start tag of an account's next work is the later of the virtual
    time and the account's finish time; the smallest tag goes first. See
    Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
    """

    def __init__(self) -> None:
        self._account_queues: dict[ClientAccountName, AccountQueue[Work]] = (
            collections.defaultdict(lambda: AccountQueue(weight=1))
        )
        self._virtual_time: float = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def charge(self, ticket: Ticket, cost: float) -> None:
        """Charge work to the share of its account.

        :param cost: number of permits of average duration.
        """
        queue = self._open_account_queue(ticket)
        start = max(self._virtual_time, queue.finish)
        queue.finish = start + cost / queue.weight

    def charge_unqueued(self, ticket: Ticket) -> None:
        """Advance the virtual time and charge work that does not wait."""
        queue = self._open_account_queue(ticket)
        self._virtual_time = self._read_start_tag(queue)
        self.charge(ticket, 1)

    def add(self, waiter: Work) -> None:
        """Queue work behind its account's work of the same priority."""
        queue = self._open_account_queue(waiter.ticket)
        queue.waiters.append(waiter)
        queue.waiters.sort(key=lambda other: -other.ticket.priority)
        self._length += 1

    def pop(self) -> Work:
        """Remove the work that goes next and charge its account."""
        queue = min(
            (queue for queue in self._account_queues.values() if queue.waiters),
            key=self._read_start_tag,
        )
        waiter = queue.waiters[0]
        self.take(waiter)
        return waiter

    def list_heads(self, find_kind: Callable[[Work], Hashable]) -> list[Work]:
        """List the first work of each account, the one that goes next first.

        Work that goes next may not be startable while that of others is.

        :param find_kind: the first work of each kind is listed; work of one
            kind is startable at the same time.
        """
        waiting = [
            queue for queue in self._account_queues.values() if queue.waiters
        ]
        waiting.sort(key=self._read_start_tag)
        heads: list[Work] = []
        for queue in waiting:
            first: dict[Hashable, Work] = {}
            for waiter in queue.waiters:
                first.setdefault(find_kind(waiter), waiter)
            heads.extend(first.values())
        return heads

    def take(self, waiter: Work) -> None:
        """Remove queued work and charge its account."""
        queue = self._account_queues[waiter.ticket.account]
        queue.waiters.remove(waiter)
        self._length -= 1
        self._virtual_time = self._read_start_tag(queue)
        self.charge(waiter.ticket, 1)
        idle = [
            account
            for account, other in self._account_queues.items()
            if not other.waiters and other.finish <= self._virtual_time
        ]
        for account in idle:
            self._account_queues.pop(account)

    def discard(self, waiter: Work) -> bool:
        """Remove one piece of work.

        :return: true if the work was queued.
        """
        queue = self._account_queues.get(waiter.ticket.account)
        if queue is None or waiter not in queue.waiters:
            return False
        queue.waiters.remove(waiter)
        self._length -= 1
        return True

    def evict_for(self, ticket: Ticket) -> Work | None:
        """Evict the last work of the account with the largest backlog.

        Work of another account is evicted only if the account of the new
        work would still have the smaller backlog; work of the same account
        only for a higher priority.

        :return: the evicted work, none if nothing may be evicted.
        """
        own = self._open_account_queue(ticket)
        longest = max(
            self._account_queues.values(), key=lambda queue: queue.backlog
        )
        own_backlog = (len(own.waiters) + 1) / own.weight
        if longest is own:
            last = own.waiters[-1] if own.waiters else None
            if last is None or last.ticket.priority >= ticket.priority:
                return None
        elif longest.backlog <= own_backlog:
            return None
        self._length -= 1
        return longest.waiters.pop()

    def clear(self) -> list[Work]:
        """Remove and return all work, in no particular order."""
        waiters = [
            waiter
            for queue in self._account_queues.values()
            for waiter in queue.waiters
        ]
        for queue in self._account_queues.values():
            queue.waiters.clear()
        self._length = 0
        return waiters

    def estimate_turns(self, ticket: Ticket) -> float:
        """Estimate how many permits are granted until work gets its own.

        :return: number of permits, the work's own included.
        """
        own = self._open_account_queue(ticket)
        ahead = sum(
            other.ticket.priority >= ticket.priority for other in own.waiters
        )
        weights = own.weight + sum(
            queue.weight
            for queue in self._account_queues.values()
            if queue.waiters and queue is not own
        )
        return min((ahead + 1) * weights / own.weight, self._length + 1)

    def _open_account_queue(self, ticket: Ticket) -> AccountQueue[Work]:
        queue = self._account_queues[ticket.account]
        queue.weight = max(ticket.weight, LOWEST_WEIGHT)
        return queue

    def _read_start_tag(self, queue: AccountQueue[Work]) -> float:
        return max(self._virtual_time, queue.finish)

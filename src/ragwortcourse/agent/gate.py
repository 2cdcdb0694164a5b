"""Admission control for one target.

The target's own agent alone grants permits.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from opentelemetry import metrics

from ragwortcourse.agent.fair_queue import FairQueue
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.agent.waiter import Waiter
from ragwortcourse.clock import read_clock
from ragwortcourse.messages.outcome import NotRun

HOLD_SMOOTHING: Final = 0.1
FIRST_HOLD_SECONDS: Final = 0.1
SHORTEST_HOLD_SECONDS: Final = 0.001
HIGHEST_SURPLUS: Final = 4.0
SUSPECT_RETRY_SECONDS: Final = 1.0

METER: Final = metrics.get_meter(__name__)
REFUSALS: Final = METER.create_counter('ragwortcourse.gate.refusals')
PERMITS: Final = METER.create_counter('ragwortcourse.gate.permits')


class Gate:
    """Grants permits up to a limit and queues the rest in fair shares.

    :param read_limit: returns the number of permits in force.
    :param read_queue_limit: returns the number of tickets that may wait.
    :param find_admission_refusal: returns none while new work is accepted,
        else the refusal.
    :ivar running: permits in use.
    :ivar idle: set while no permit is in use.
    """

    def __init__(
        self,
        *,
        read_limit: Callable[[], int],
        read_queue_limit: Callable[[], int],
        find_admission_refusal: Callable[[], NotRun | None],
    ) -> None:
        self._read_limit = read_limit
        self._read_queue_limit = read_queue_limit
        self._find_admission_refusal = find_admission_refusal
        self._queue = FairQueue[Waiter]()
        self.running = 0
        self._suspect_running = False
        self._average_hold_seconds = FIRST_HOLD_SECONDS
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def queued(self) -> int:
        """Number of tickets that wait."""
        return len(self._queue)

    @property
    def spare(self) -> int:
        """Free permits minus waiting tickets; may be negative."""
        return self._read_limit() - self.running - len(self._queue)

    async def acquire(self, ticket: Ticket) -> NotRun | None:
        """Wait for a permit.

        :return: none once the permit is held, else the refusal.
        """
        refusal = self._find_refusal(ticket)
        if refusal is not None:
            return count_refusal(refusal)
        if self.running < self._read_limit() and not self._queue:
            self._queue.charge_unqueued(ticket)
            self._take(ticket)
            return None
        return await self._wait(ticket)

    def release(self, ticket: Ticket, held: float) -> None:
        """Release a permit.

        :param held: seconds for which the permit was held.
        """
        surplus = (
            held / max(self._average_hold_seconds, SHORTEST_HOLD_SECONDS) - 1
        )
        self._queue.charge(ticket, min(surplus, HIGHEST_SURPLUS))
        self._average_hold_seconds += HOLD_SMOOTHING * (
            held - self._average_hold_seconds
        )
        self.release_uncharged(ticket)

    def release_uncharged(self, ticket: Ticket) -> None:
        """Release a permit without charging its account for the time held."""
        self.running -= 1
        self._suspect_running = self._suspect_running and not ticket.suspect
        if self.running == 0:
            self.idle.set()
        self.admit()

    def admit(self) -> None:
        """Grant permits to waiting work as far as the limit allows."""
        closed = self._find_admission_refusal()
        if closed is not None:
            for waiting in self._queue.clear():
                refuse_waiter(waiting, closed)
        while self._queue and self.running < self._read_limit():
            waiter = self._queue.pop()
            self._grant_or_refuse(waiter)

    def _find_refusal(self, ticket: Ticket) -> NotRun | None:
        closed = self._find_admission_refusal()
        if closed is not None:
            return closed
        if ticket.suspect and self._suspect_running:
            return NotRun(
                code='suspect_waits',
                detail='another request that may crash targets runs here',
                retry_after=SUSPECT_RETRY_SECONDS,
            )
        return None

    async def _wait(self, ticket: Ticket) -> NotRun | None:
        wait = self._estimate_wait(ticket)
        if read_clock() + wait + self._average_hold_seconds > ticket.deadline:
            return count_refusal(
                NotRun(
                    code='deadline_unreachable',
                    detail=f'{wait:.3f} s of work wait here',
                    retry_after=wait,
                ),
            )
        if len(self._queue) >= self._read_queue_limit():
            evicted = self._queue.evict_for(ticket)
            full = describe_full(len(self._queue), wait)
            if evicted is None:
                return count_refusal(full)
            refuse_waiter(evicted, full)
        return await self._join_queue(ticket)

    async def _join_queue(self, ticket: Ticket) -> NotRun | None:
        loop = asyncio.get_running_loop()
        waiter = Waiter(ticket=ticket, verdict=loop.create_future())
        self._queue.add(waiter)
        try:
            async with asyncio.timeout_at(ticket.deadline):
                return await waiter.verdict
        except TimeoutError:
            self._leave_queue(waiter)
            return count_refusal(
                NotRun(
                    code='deadline_passed',
                    detail='the deadline passed at the gate',
                ),
            )
        except asyncio.CancelledError:
            self._leave_queue(waiter)
            raise

    def _leave_queue(self, waiter: Waiter) -> None:
        if self._queue.discard(waiter):
            return
        verdict = waiter.verdict
        # The permit may have been granted as the wait timed out or was
        # cancelled.
        granted = verdict.done() and not verdict.cancelled()
        if granted and verdict.result() is None:
            self.release_uncharged(waiter.ticket)

    def _grant_or_refuse(self, waiter: Waiter) -> None:
        if waiter.verdict.done():
            return
        refusal = self._find_refusal(waiter.ticket)
        late = (
            read_clock() + self._average_hold_seconds > waiter.ticket.deadline
        )
        if refusal is None and late:
            refusal = NotRun(
                code='deadline_unreachable',
                detail='too little time is left for the usual work',
                retry_after=self._average_hold_seconds,
            )
        if refusal is None:
            self._take(waiter.ticket)
            waiter.verdict.set_result(None)
        else:
            refuse_waiter(waiter, refusal)

    def _take(self, ticket: Ticket) -> None:
        self.running += 1
        self._suspect_running = self._suspect_running or ticket.suspect
        self.idle.clear()
        PERMITS.add(1)

    def _estimate_wait(self, ticket: Ticket) -> float:
        turns = self._queue.estimate_turns(ticket)
        return turns * self._average_hold_seconds / max(self._read_limit(), 1)


def count_refusal(refusal: NotRun) -> NotRun:
    """Count a refusal by its code and return the refusal."""
    REFUSALS.add(1, {'code': refusal.code})
    return refusal


def refuse_waiter(waiter: Waiter, refusal: NotRun) -> None:
    """Refuse a waiter whose verdict is not yet set."""
    if not waiter.verdict.done():
        waiter.verdict.set_result(count_refusal(refusal))


def describe_full(queued: int, wait: float) -> NotRun:
    """Build the refusal of work for which the queue has no room.

    :param queued: tickets that wait.
    :param wait: estimated seconds in the queue, given as the retry delay.
    """
    return NotRun(
        code='queue_full',
        detail=f'{queued} requests wait at the target',
        retry_after=wait,
    )

"""The permits of one target, given out by its agent alone."""

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
    """Gives permits up to a limit; the rest waits in fair shares.

    :param read_limit: permits in force now.
    :param read_queue_limit: work that may wait now.
    :param find_admission_refusal: none while new work is taken, else its
        refusal.

    ``running`` is the number of permits taken; ``idle`` is set while it
    is zero.
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
        self._queue = FairQueue()
        self.running = 0
        self._suspect_running = False
        self._average_hold_seconds = FIRST_HOLD_SECONDS
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def queued(self) -> int:
        """Work that waits."""
        return len(self._queue)

    @property
    def spare(self) -> int:
        """Permits left, below zero by the work that waits."""
        return self._read_limit() - self.running - len(self._queue)

    async def acquire(self, ticket: Ticket) -> NotRun | None:
        """Wait for a permit; none once it is held, else the refusal."""
        refusal = self._judge(ticket)
        if refusal is not None:
            return count_refusal(refusal)
        if self.running < self._read_limit() and not self._queue:
            self._queue.charge_unqueued(ticket)
            self._take(ticket)
            return None
        return await self._wait(ticket)

    def release(self, ticket: Ticket, held: float) -> None:
        """Give a permit back.

        :param held: seconds for which it was held.
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
        """Give a permit back that was not used."""
        self.running -= 1
        self._suspect_running = self._suspect_running and not ticket.suspect
        if self.running == 0:
            self.idle.set()
        self.admit()

    def admit(self) -> None:
        """Let waiting work start as far as the limit allows."""
        closed = self._find_admission_refusal()
        if closed is not None:
            for waiting in self._queue.clear():
                refuse_waiter(waiting, closed)
        while self._queue and self.running < self._read_limit():
            waiter = self._queue.pop()
            self._decide(waiter)

    def _judge(self, ticket: Ticket) -> NotRun | None:
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
            pushed = self._queue.evict_for(ticket)
            full = describe_full(len(self._queue), wait)
            if pushed is None:
                return count_refusal(full)
            refuse_waiter(pushed, full)
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
        # The permit may have come at the very moment the wait ended.
        granted = verdict.done() and not verdict.cancelled()
        if granted and verdict.result() is None:
            self.release_uncharged(waiter.ticket)

    def _decide(self, waiter: Waiter) -> None:
        if waiter.verdict.done():
            return
        refusal = self._judge(waiter.ticket)
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
    """Count a refusal by its code and hand it on."""
    REFUSALS.add(1, {'code': refusal.code})
    return refusal


def refuse_waiter(waiter: Waiter, refusal: NotRun) -> None:
    """Tell work that waits that it will not run."""
    if not waiter.verdict.done():
        waiter.verdict.set_result(count_refusal(refusal))


def describe_full(queued: int, wait: float) -> NotRun:
    """Refusal of work for which the queue has no place.

    :param wait: seconds after which it would have had its turn.
    """
    return NotRun(
        code='queue_full',
        detail=f'{queued} requests wait at the target',
        retry_after=wait,
    )

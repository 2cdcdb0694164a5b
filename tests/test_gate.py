"""Tests of :mod:`ragwortcourse.agent.gate`."""

import asyncio
import collections

import pytest

from ragwortcourse.agent.gate import Gate
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.clock import read_clock
from ragwortcourse.messages.outcome import NotRun

pytestmark = pytest.mark.looptime
WORK_SECONDS = 0.1


class GateHarness:
    """A gate with adjustable limits, and counts of the work it admitted."""

    def __init__(self, *, limit: int = 2, queue: int = 50) -> None:
        self.limit = limit
        self.closed: NotRun | None = None
        self.peak = 0
        self.done = collections.Counter()
        self.refused = collections.Counter()
        self.order = []
        self.gate = Gate(
            read_limit=lambda: self.limit,
            read_queue_limit=lambda: queue,
            find_admission_refusal=lambda: self.closed,
        )

    async def work(self, account: str = 'one', **changes: object) -> None:
        """Acquire a permit and release it after ``WORK_SECONDS``."""
        asked = {'weight': 1, 'deadline': read_clock() + 60, **changes}
        ticket = Ticket(account=account, **asked)
        refusal = await self.gate.acquire(ticket)
        if refusal is not None:
            self.refused[account, refusal.code] += 1
            return
        self.peak = max(self.peak, self.gate.running)
        await asyncio.sleep(WORK_SECONDS)
        self.order.append((account, changes.get('priority', 0)))
        self.done[account] += 1
        self.gate.release(ticket, WORK_SECONDS)

    async def send(self, count: int, account: str, **changes: object) -> None:
        """Run ``count`` pieces of work concurrently."""
        await asyncio.gather(
            *(self.work(account, **changes) for _ in range(count))
        )


class TestGate:
    """Permits, fair shares and queue limits."""

    @pytest.mark.parametrize(('weight', 'share'), [(1, 0.5), (3, 0.75)])
    async def test_shares_follow_weights(self, weight, share):
        """Accounts with a backlog get permits in proportion to weight."""
        harness = GateHarness()
        sending = [
            asyncio.create_task(harness.send(25, 'heavy', weight=weight)),
            asyncio.create_task(harness.send(25, 'light', weight=1)),
        ]
        await asyncio.sleep(0.8)
        measured_share = harness.done['heavy'] / harness.done.total()
        await asyncio.gather(*sending)
        assert measured_share == pytest.approx(share, abs=0.15)
        assert harness.peak == 2

    async def test_flood_pushes_nobody_else_out(self):
        """Work of an account that floods the queue is evicted for others."""
        harness = GateHarness(queue=10)
        flood = asyncio.create_task(harness.send(100, 'flood'))
        await asyncio.sleep(0.01)
        await harness.send(4, 'other')
        await flood
        assert harness.done['other'] == 4
        assert harness.refused['flood', 'queue_full'] == 92

    async def test_priority_counts_within_an_account(self):
        """Higher priority goes first within an account, not across accounts."""
        harness = GateHarness(limit=1)
        await asyncio.gather(
            harness.work('one'),
            *(harness.work('one', priority=0) for _ in range(3)),
            *(harness.work('one', priority=9) for _ in range(3)),
            *(harness.work('two', priority=0) for _ in range(3)),
        )
        own = [
            priority
            for account, priority in harness.order[1:]
            if account == 'one'
        ]
        assert own == [9, 9, 9, 0, 0, 0]
        assert ('two', 0) in harness.order[:3]

    async def test_what_cannot_finish_is_refused_at_once(self):
        """Work whose estimated wait exceeds its deadline is refused at once."""
        harness = GateHarness()
        sending = asyncio.create_task(harness.send(30, 'one'))
        await asyncio.sleep(0.01)
        asked_at = read_clock()
        ticket = Ticket(account='one', weight=1, deadline=asked_at + 0.3)
        refusal = await harness.gate.acquire(ticket)
        assert read_clock() == asked_at
        assert refusal.code == 'deadline_unreachable'
        assert refusal.retry_after > 0.3
        await sending

    @pytest.mark.parametrize('code', ['withdrawn', 'leaving'])
    async def test_closing_refuses_what_waits(self, code):
        """Closing the gate refuses queued work; running work completes."""
        harness = GateHarness()
        sending = asyncio.create_task(harness.send(10, 'one'))
        await asyncio.sleep(WORK_SECONDS / 2)
        harness.closed = NotRun(code=code, detail='')
        harness.gate.admit()
        await sending
        assert harness.done['one'] == 2
        assert harness.refused['one', code] == 8

    async def test_lower_limit_holds_at_once(self):
        """After the limit is lowered, no work starts above the new limit."""
        harness = GateHarness(limit=8)
        sending = asyncio.create_task(harness.send(20, 'one'))
        await asyncio.sleep(WORK_SECONDS / 2)
        harness.limit = 1
        await asyncio.sleep(WORK_SECONDS)
        assert harness.gate.running == 1
        await sending

    async def test_cancelled_wait_loses_no_permit(self):
        """Cancelling a wait releases a permit granted at the same moment.

        Guards against a leaked permit.
        """
        harness = GateHarness(limit=1)
        ticket = Ticket(account='one', weight=1, deadline=60)
        await harness.gate.acquire(ticket)
        waiting = asyncio.create_task(harness.work())
        await asyncio.sleep(0.01)
        harness.gate.release(ticket, WORK_SECONDS)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert harness.gate.running == 0

    async def test_one_suspect_at_a_time(self):
        """A second suspect is refused while the first suspect runs."""
        harness = GateHarness(limit=8)
        await harness.send(2, 'one', suspect=True)
        await harness.work(suspect=True)
        assert harness.done['one'] == 2
        assert harness.refused['one', 'suspect_waits'] == 1

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


class World:
    """A gate, and what went through it."""

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
        """Ask for a permit, hold it for a while, give it back."""
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
        """So many at once."""
        await asyncio.gather(
            *(self.work(account, **changes) for _ in range(count))
        )


class TestGate:
    """Permits and the queue."""

    @pytest.mark.parametrize(('weight', 'share'), [(1, 0.5), (3, 0.75)])
    async def test_shares_follow_weights(self, weight, share):
        """Accounts that both want more get permits by weight."""
        world = World()
        sending = [
            asyncio.create_task(world.send(25, 'heavy', weight=weight)),
            asyncio.create_task(world.send(25, 'light', weight=1)),
        ]
        await asyncio.sleep(0.8)
        got = world.done['heavy'] / world.done.total()
        await asyncio.gather(*sending)
        assert got == pytest.approx(share, abs=0.15)
        assert world.peak == 2

    async def test_flood_pushes_nobody_else_out(self):
        """An account that floods the queue loses its own places to others."""
        world = World(queue=10)
        flood = asyncio.create_task(world.send(100, 'flood'))
        await asyncio.sleep(0.01)
        await world.send(4, 'other')
        await flood
        assert world.done['other'] == 4
        assert world.refused['flood', 'queue_full'] == 92

    async def test_priority_counts_within_an_account(self):
        """Higher priority goes first within its own account only."""
        world = World(limit=1)
        await asyncio.gather(
            world.work('one'),
            *(world.work('one', priority=0) for _ in range(3)),
            *(world.work('one', priority=9) for _ in range(3)),
            *(world.work('two', priority=0) for _ in range(3)),
        )
        own = [
            priority
            for account, priority in world.order[1:]
            if account == 'one'
        ]
        assert own == [9, 9, 9, 0, 0, 0]
        assert ('two', 0) in world.order[:3]

    async def test_what_cannot_finish_is_refused_at_once(self):
        """Work whose turn comes after its deadline is refused at once."""
        world = World()
        sending = asyncio.create_task(world.send(30, 'one'))
        await asyncio.sleep(0.01)
        asked_at = read_clock()
        ticket = Ticket(account='one', weight=1, deadline=asked_at + 0.3)
        refusal = await world.gate.acquire(ticket)
        assert read_clock() == asked_at
        assert refusal.code == 'deadline_unreachable'
        assert refusal.retry_after > 0.3
        await sending

    @pytest.mark.parametrize('code', ['withdrawn', 'leaving'])
    async def test_closing_refuses_what_waits(self, code):
        """Waiting work is refused as the gate closes; started work ends."""
        world = World()
        sending = asyncio.create_task(world.send(10, 'one'))
        await asyncio.sleep(WORK_SECONDS / 2)
        world.closed = NotRun(code=code, detail='')
        world.gate.admit()
        await sending
        assert world.done['one'] == 2
        assert world.refused['one', code] == 8

    async def test_lower_limit_holds_at_once(self):
        """After the limit fell, nothing starts until enough has ended."""
        world = World(limit=8)
        sending = asyncio.create_task(world.send(20, 'one'))
        await asyncio.sleep(WORK_SECONDS / 2)
        world.limit = 1
        await asyncio.sleep(WORK_SECONDS)
        assert world.gate.running == 1
        await sending

    async def test_cancelled_wait_loses_no_permit(self):
        """A wait that ends at the moment of its grant gives the permit back."""
        world = World(limit=1)
        ticket = Ticket(account='one', weight=1, deadline=60)
        await world.gate.acquire(ticket)
        waiting = asyncio.create_task(world.work())
        await asyncio.sleep(0.01)
        world.gate.release(ticket, WORK_SECONDS)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert world.gate.running == 0

    async def test_one_suspect_at_a_time(self):
        """A second request that may crash the target is refused meanwhile."""
        world = World(limit=8)
        await world.send(2, 'one', suspect=True)
        await world.work(suspect=True)
        assert world.done['one'] == 2
        assert world.refused['one', 'suspect_waits'] == 1

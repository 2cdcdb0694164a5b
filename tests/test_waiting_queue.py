"""Tests of :mod:`ragwortcourse.forwarding.scheduling.waiting_queue`."""

import asyncio

import pytest

from fakes.fleet_parts import make_target
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.reply import STOPPING, Reason, Refusal
from ragwortcourse.forwarding.scheduling.wait_confidence import WaitConfidence
from ragwortcourse.forwarding.scheduling.waiting_queue import (
    LATE,
    MAX_BYTES,
    WAKE_SECONDS,
    WaitingQueue,
)
from ragwortcourse.forwarding.scheduling.waiting_request import WaitingRequest

pytestmark = pytest.mark.looptime
TARGET = make_target()
MISSED = Refusal(reason=Reason.OVERLOADED, retry_after=1)


class Room:
    """Queue in front of a target with some free slots.

    :ivar sent: names of the requests that were sent, in order.
    """

    def __init__(self) -> None:
        self.queue = WaitingQueue()
        self.free = 0
        self.sent = []
        self.stays = True

    def start(self, name, urgency, *, account='a', seconds=1.0, size=0):
        """Let a request wait."""
        now = read_clock()
        request = WaitingRequest(
            ticket=Ticket(
                account=account,
                weight=1,
                deadline=now + seconds,
                priority=-int((now + seconds) * 1000),
            ),
            urgency=urgency,
            size=size,
            fresh_until=now + seconds,
            leaves_at=now + seconds + 2,
            offer=lambda: TARGET if self.free > 0 else None,
            may_stay=lambda: self.stays,
            refuse=lambda: MISSED,
            verdict=asyncio.get_running_loop().create_future(),
        )
        return asyncio.ensure_future(self._wait(name, request))

    async def add_slots(self, count):
        """Make slots free, and let the queue notice."""
        self.free += count
        self.queue.wake()
        await asyncio.sleep(WAKE_SECONDS * 2)

    async def _wait(self, name, request):
        verdict = await self.queue.wait(request)
        if verdict is TARGET:
            self.free -= 1
            self.sent.append(name)
        return verdict


class TestOrder:
    """Order in which waiting requests go."""

    async def test_urgency_then_slack(self):
        """No request goes before a more urgent one, or one with less time."""
        room = Room()
        room.start('late', LATE)
        room.start('slack', 1, seconds=0.9)
        room.start('tight', 1, seconds=0.4)
        room.start('urgent', 0)
        await asyncio.sleep(0.1)
        for _ in range(4):
            await room.add_slots(1)
        assert room.sent == ['urgent', 'tight', 'slack', 'late']

    async def test_accounts(self):
        """An account with many requests does not keep another waiting."""
        room = Room()
        for _ in range(6):
            room.start('many', 1, account='many', seconds=0.5)
        room.start('few', 1, account='few')
        await room.add_slots(2)
        assert sorted(room.sent) == ['few', 'many']

    async def test_no_more_than_room(self):
        """Each request sees the load of those that went before it."""
        room = Room()
        for _ in range(5):
            room.start('each', 1)
        await room.add_slots(3)
        assert len(room.sent) == 3
        assert room.free == 0
        assert room.queue.count() == [0, 2, 0, 0, 0]

    async def test_missed(self):
        """A request that can't begin in time waits behind all others."""
        room = Room()
        room.start('missed', 0, seconds=0.1)
        await asyncio.sleep(0.2)
        room.start('least urgent', 2)
        await room.add_slots(2)
        assert room.sent == ['least urgent', 'missed']


class TestEnd:
    """Ends of waits without a target."""

    async def test_useless_wait(self):
        """A request that has missed its objective is not held for nothing."""
        room = Room()
        room.stays = False
        task = room.start('missed', 0, seconds=0.1)
        await asyncio.sleep(0.11)
        assert task.result() is MISSED

    async def test_caller_about_to_leave(self):
        """A late request is refused before its caller leaves."""
        room = Room()
        task = room.start('missed', 0, seconds=0.1)
        await asyncio.sleep(2.11)
        assert task.result() is MISSED

    async def test_caller_left(self):
        """A request whose caller left holds neither a place nor bytes."""
        room = Room()
        task = room.start('left', 0, size=MAX_BYTES)
        await asyncio.sleep(0.1)
        assert not room.queue.has_room(1, 10)
        task.cancel()
        await asyncio.sleep(0.1)
        assert room.queue.has_room(1, 10)
        await room.add_slots(1)
        assert room.sent == []

    async def test_stop(self):
        """A daemon that stops keeps no request waiting."""
        room = Room()
        tasks = [room.start('each', urgency) for urgency in range(LATE + 1)]
        await asyncio.sleep(0.1)
        room.queue.end_all(STOPPING)
        await asyncio.sleep(0)
        assert {(await task).reason for task in tasks} == {Reason.STOPPING}
        assert not any(room.queue.count())


class TestWaitConfidence:
    """Reliance on expected waits."""

    def test_waits_in_vain(self):
        """Waits in vain end waiting, until slots are free in time again."""
        confidence = WaitConfidence()
        usual = confidence.read(1, 0)
        for _ in range(5):
            confidence.note(1, 1, is_served=False)
        assert confidence.read(1, 1) < usual / 10
        assert confidence.read(0, 1) == usual
        assert confidence.read(1, 200) == pytest.approx(usual, rel=0.1)
        for _ in range(100):
            confidence.note(1, 200, is_served=True)
        assert confidence.read(1, 200) == 1

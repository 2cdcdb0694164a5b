"""Requests of one service that wait at the daemon for a target.

Load pattern: slots are free again within some tens of milliseconds, while
refused callers come back only once and seconds later. Requests wait in the
order of their urgency, fair among accounts, then by the time that is left to
them. The queue is woken by whatever makes room, and lets requests go one by
one: the next choice has to see the load of the one before.
"""

import asyncio
from collections.abc import Hashable, Sequence
from typing import Final

from ragwortcourse.agent.fair_queue import FairQueue
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.reply import Refusal
from ragwortcourse.forwarding.scheduling.waiting_request import WaitingRequest
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.urgency import URGENCIES

# Requests that can no longer begin in time wait behind all others.
LATE: Final = URGENCIES
# Bytes of the bodies of waiting requests.
MAX_BYTES: Final = 8_388_608
# Other daemons report some hundred times a second; one look at all targets
# in this time finds the room that all of them made.
WAKE_SECONDS: Final = 0.01
# Requests of each urgency, each of another account or with other home regions,
# that get a look at a time: the first may be allowed in some regions only.
MAX_HEADS: Final = 3


class WaitingQueue:
    """Waiting requests by urgency, fair among accounts."""

    def __init__(self) -> None:
        self._queues = tuple(
            FairQueue[WaitingRequest]() for _ in range(LATE + 1)
        )
        self._bytes = 0
        self._woken_at: float = 0
        self._wake: asyncio.Handle | None = None

    def count(self) -> list[int]:
        """Count the waiting requests, the most urgent first, late ones last."""
        return [len(queue) for queue in self._queues]

    def has_ahead(self, urgency: int) -> bool:
        """Tell whether a request would wait behind another."""
        return any(self.count()[: urgency + 1])

    def has_room(self, size: int, limit: int) -> bool:
        """Tell whether one more request may wait.

        :param size: bytes of its body.
        :param limit: number of requests that may wait.
        """
        return sum(self.count()) < limit and self._bytes + size <= MAX_BYTES

    async def wait(self, request: WaitingRequest) -> Target | Refusal:
        """Wait until a request has its target, or is refused."""
        loop = asyncio.get_running_loop()
        self._queues[request.urgency].add(request)
        self._bytes += request.size
        timers = [loop.call_at(request.leaves_at, _give_up, request)]
        if request.urgency != LATE:
            timers.append(
                loop.call_at(request.fresh_until, self._make_late, request)
            )
        self.wake()
        try:
            return await request.verdict
        finally:
            self._remove(request, timers)

    def wake(self) -> None:
        """Let requests go for which there is room by now."""
        if self._wake is None and any(self.count()):
            self._wake = asyncio.get_running_loop().call_at(
                self._woken_at + WAKE_SECONDS, self._let_go
            )

    def end_all(self, refusal: Refusal | None = None) -> None:
        """Refuse all waiting requests.

        :param refusal: none: each gets its own.
        """
        for queue in self._queues:
            for request in queue.clear():
                _resolve(request, refusal or request.refuse())

    def _remove(
        self, request: WaitingRequest, timers: Sequence[asyncio.TimerHandle]
    ) -> None:
        self._queues[request.urgency].discard(request)
        self._bytes -= request.size
        for timer in timers:
            timer.cancel()

    def _let_go(self) -> None:
        """Let one request go, and look again once it is sent."""
        self._wake = None
        self._woken_at = read_clock()
        for queue in self._queues:
            for request in queue.list_heads(_read_homes)[:MAX_HEADS]:
                chosen = request.offer()
                if chosen is not None:
                    queue.take(request)
                    _resolve(request, chosen)
                    # Behind the callback that lets the request be sent.
                    self._wake = asyncio.get_running_loop().call_soon(
                        self._let_go
                    )
                    return

    def _make_late(self, request: WaitingRequest) -> None:
        """Let a request that can't begin in time wait behind all others."""
        if not self._queues[request.urgency].discard(request):
            return
        if not request.may_stay():
            _give_up(request)
            return
        request.urgency = LATE
        self._queues[LATE].add(request)


def _read_homes(request: WaitingRequest) -> Hashable:
    return request.homes


def _give_up(request: WaitingRequest) -> None:
    _resolve(request, request.refuse())


def _resolve(request: WaitingRequest, verdict: Target | Refusal) -> None:
    # The task of the request may have been cancelled in the meantime.
    if not request.verdict.done():
        request.verdict.set_result(verdict)

"""Model engine that many requests compete for, in virtual time."""

import asyncio
import heapq
import itertools
import random
from typing import Final

# Seconds for which a request holds a slot.
SHORTEST_HOLD: Final = 1.1
LONGEST_HOLD: Final = 1.6
# Requests that wait for a slot at most; further ones are declined.
QUEUE: Final = 24


class ContendedEngine:
    """Slots that waiting requests get by their rank.

    :ivar served: requests that have begun.
    """

    def __init__(self, *, slots: int, rng: random.Random) -> None:
        self.slots = slots
        self.running = 0
        self.served = 0
        self._rng = rng
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def begin(self, rank: int, start_seconds: float) -> float | None:
        """Wait for a slot and for the first event.

        :param start_seconds: from the slot to the first event.
        :return: seconds from the first event to the end of the answer; none
            if the engine declines the request.
        """
        if self.running < self.slots:
            self.running += 1
        elif self._count_waiting() >= QUEUE:
            return None
        else:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (rank, next(self._order), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._release()
                raise
        self.served += 1
        hold = self._rng.uniform(SHORTEST_HOLD, LONGEST_HOLD)
        asyncio.get_running_loop().call_later(hold, self._release)
        await asyncio.sleep(start_seconds)
        return hold - start_seconds

    def _count_waiting(self) -> int:
        return sum(not turn.done() for _, _, turn in self._waiting)

    def _release(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

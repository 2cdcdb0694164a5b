"""Race of the targets that have one request while some of them are silent.

A silent target is a reason to ask another one, not to end the request: nobody
knows yet whether another target can take it. The first target that has what
the caller waits for goes on, and the others are let go.
"""

import asyncio
import contextlib
import logging
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final, Generic, TypeVar

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.tries import TIMER_SECONDS, Tries
from ragwortcourse.forwarding.try_lane import TryLane

# Interval at which one more target is looked for.
ASK_AGAIN_SECONDS: Final = 0.25

LOGGER: Final = logging.getLogger(__name__)

End = TypeVar('End')


class TryRace(Generic[End]):
    """Lanes of one request that are under way, each with a task of its own.

    :param run: runs a lane to its end.
    :param choose_patience: chooses the seconds of silence of a new lane after
        which one more target may be asked.
    """

    def __init__(
        self,
        *,
        tries: Tries,
        run: Callable[[TryLane], Awaitable[End]],
        choose_patience: Callable[[], float],
    ) -> None:
        self._tries = tries
        self._run = run
        self._choose_patience = choose_patience
        self._asked_at = -math.inf
        self._lanes: dict[asyncio.Future[End], TryLane] = {}
        self._let_go: set[asyncio.Future[End]] = set()

    @property
    def is_empty(self) -> bool:
        """Tell whether no lane is left."""
        return not self._lanes

    def start(self, *, beside: bool = False) -> None:
        """Start one more lane.

        :param beside: true if the targets of the other lanes may still answer.
        """
        lane = TryLane(
            tries=self._tries,
            patience=self._choose_patience(),
            silent=tuple(self._lanes.values()) if beside else (),
            is_covered=self._may_answer_soon,
        )
        if beside:
            self._asked_at = read_clock()
        self._lanes[asyncio.ensure_future(self._run(lane))] = lane

    def claim(self, chosen: TryLane) -> None:
        """Let all lanes go except the one that has what the caller waits for.

        This cancels the request at their targets.
        """
        for run, lane in tuple(self._lanes.items()):
            if lane is not chosen:
                self._lanes.pop(run)
                self._let_go.add(run)
                run.cancel()

    async def wait_end(self) -> tuple[TryLane, End]:
        """Wait for the end of any lane.

        Meanwhile one more target is asked whenever those that have the request
        are silent for too long.

        :raises TimeoutError: the caller of a stream is about to leave, as it
            has got no event for long.
        """
        while True:
            await asyncio.wait(
                self._lanes,
                timeout=min(self._find_next_ask(), self._tries.gap_left),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = self._take_ended()
            if ended is not None:
                return ended
            if not self._tries.gap_left:
                raise TimeoutError
            for lane in self._lanes.values():
                if not lane.patience_left:
                    lane.note_silent()
            if not self._find_next_ask():
                self.start(beside=True)

    @contextlib.asynccontextmanager
    async def keep_deadline(self) -> AsyncIterator[None]:
        """Let all lanes go at the end, at the deadline of the request at most.

        :raises TimeoutError: the deadline has passed.
        """
        try:
            async with asyncio.timeout_at(self._tries.work.deadline):
                yield
        finally:
            await self._close()

    async def _close(self) -> None:
        runs = self._let_go | self._lanes.keys()
        for run in runs:
            run.cancel()
        if runs:
            await asyncio.wait(runs)

    def _take_ended(self) -> tuple[TryLane, End] | None:
        for run, lane in tuple(self._lanes.items()):
            if run.done() and not self._drop_failed(run):
                self._lanes.pop(run)
                return lane, run.result()
        return None

    def _drop_failed(self, run: asyncio.Future[End]) -> bool:
        """Drop a lane that raised if another one has the request."""
        error = run.exception()
        if error is None or len(self._lanes) == 1:
            return False
        self._lanes.pop(run)
        LOGGER.error('lane of a request failed', exc_info=error)
        return True

    def _may_answer_soon(self) -> bool:
        return any(lane.may_answer_soon for lane in self._lanes.values())

    def _find_next_ask(self) -> float:
        """Find the seconds until one more target may be asked."""
        wait = max(lane.patience_left for lane in self._lanes.values())
        if not wait and self._tries.find_end(beside=True) is not None:
            return ASK_AGAIN_SECONDS
        pause = self._asked_at + ASK_AGAIN_SECONDS - read_clock()
        return max(wait, pause if pause > TIMER_SECONDS else 0)

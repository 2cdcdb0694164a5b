"""A model engine in virtual time whose machine is slow at times."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.engine_profile import EngineProfile

SLOW_PACE = 2.5
# A machine may change its pace this often.
PACE_SECONDS = 0.6


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineJob:
    """One request at an engine.

    :param prompt: tokens to read.
    :param answer: tokens to write.
    :param notify: called with each event: the load report of the first one,
        and whether it is the last one.
    """

    prompt: int
    answer: int
    notify: Callable[[ReportedLoad | None, bool], object]
    written: int = 0


class UnevenEngine:
    """Engine that reads prompts and writes answers in passes.

    :param slow_share: share of the time in which its machine is slow.
    :param reports_pace: true if it reports how slow.
    """

    def __init__(
        self,
        *,
        profile: EngineProfile,
        slow_share: float,
        reports_pace: bool,
        seed: int,
    ) -> None:
        self._profile = profile
        self._slow_share = slow_share
        self._reports_pace = reports_pace
        self._seed = seed
        self._phase = random.Random(seed).random() * PACE_SECONDS
        self._queue: collections.deque[EngineJob] = collections.deque()
        self._running: list[EngineJob] = []
        self._woken = asyncio.Event()
        self.most_held = 0

    @property
    def pace(self) -> float:
        """How long work takes now, as a multiple of the usual time."""
        turn = int((read_clock() + self._phase) / PACE_SECONDS)
        drawn = random.Random(self._seed * 100_003 + turn).random()
        return SLOW_PACE if drawn < self._slow_share else 1

    def add(self, job: EngineJob) -> None:
        """Add a request to the queue."""
        self._queue.append(job)
        self.most_held = max(self.most_held, self._count_held())
        self._woken.set()

    async def run(self) -> None:
        """Run passes until cancelled."""
        while True:
            if not self._queue and not self._running:
                self._woken.clear()
                await self._woken.wait()
            await self._run_pass()

    async def _run_pass(self) -> None:
        profile, admitted = self._profile, 0
        while self._queue and len(self._running) < profile.slots:
            job = self._queue.popleft()
            admitted += job.prompt
            self._running.append(job)
        step = profile.step + profile.step_per_request * len(self._running)
        work = admitted / profile.prefill_rate + step * profile.steps_per_pass
        await asyncio.sleep(work * self.pace)
        for job in self._running:
            is_first = not job.written
            job.written += profile.steps_per_pass
            report = self._report() if is_first else None
            job.notify(report, job.written >= job.answer)
        self._running = [
            job for job in self._running if job.written < job.answer
        ]

    def _count_held(self) -> int:
        """Count the tokens that its requests need in memory at their end."""
        return sum(
            job.prompt + job.answer for job in (*self._queue, *self._running)
        )

    def _report(self) -> ReportedLoad:
        return ReportedLoad(
            running=len(self._running),
            waiting=len(self._queue),
            slots=self._profile.slots,
            pace=self.pace if self._reports_pace else None,
        )

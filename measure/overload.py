"""Goodput of one target at one, two and five times its capacity.

The target is a stand-in that slows down with its load and collapses above its
capacity. Goodput counts the answers that were complete before their deadline.
The baseline sends every request directly to the target, without admission
control.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import random
import statistics
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final

from fakes.agents import make_agent, make_attempt
from fakes.engine_load import EngineLoad
from fakes.memory_engine import MemoryEngine
from measure.program import Row
from ragwortcourse.agent.attempts import run_attempt
from ragwortcourse.agent.lifecycle import run_target_monitors
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineBrokenError,
    EngineRequest,
)
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
)
from ragwortcourse.messages.outcome import NotRun

CAPACITY: Final = 16
LATENCY_SECONDS: Final = 0.05
PACE_SECONDS: Final = 0.005
DEADLINE_SECONDS: Final = 1.0
WARM_UP_SECONDS: Final = 2.0
SAMPLE_SECONDS: Final = 4.0
RUN_SECONDS: Final = WARM_UP_SECONDS + SAMPLE_SECONDS
LOADS: Final = (1, 2, 5)
ACCOUNTS: Final = 10
MILLISECONDS: Final = 1000
# Requests that the stand-in completes a second at its capacity. A request
# takes the latency and nine pieces, slowed down by the factor 1.5 of full load.
PEAK_RATE: Final = CAPACITY / (1.5 * (LATENCY_SECONDS + 9 * PACE_SECONDS))

# True in the task of a request that has joined the queue.
HAS_WAITED: Final = contextvars.ContextVar('has_waited', default=False)

Serve = Callable[[Attempt], Awaitable[bool]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Sample:
    """Results of the requests that were sent after the warm-up.

    :ivar sent: requests that ended or reached their deadline.
    :ivar good: complete answers before the deadline.
    :ivar at_once: seconds until the refusal of each request that never joined
        the queue.
    :ivar waited: seconds until the refusal of each request that had joined the
        queue.
    """

    sent: int = 0
    good: int = 0
    at_once: list[float] = dataclasses.field(default_factory=list)
    waited: list[float] = dataclasses.field(default_factory=list)

    @property
    def goodput(self) -> float:
        """Complete answers a second before their deadline."""
        return self.good / SAMPLE_SECONDS


def make_engine() -> MemoryEngine:
    """Make a target without a warm-up phase."""
    load = EngineLoad(
        cold=CAPACITY, warm=CAPACITY, latency=LATENCY_SECONDS, pace=PACE_SECONDS
    )
    return MemoryEngine(load=load)


def build_gated(engine: MemoryEngine) -> Serve:
    """Build a function that serves an attempt through the gate.

    :return: coroutine function; its result is whether the answer was complete,
        false after a refusal.
    """
    limits = TargetLimits(cold=4, warm=CAPACITY, queue=2 * CAPACITY)
    agent = make_agent(engine, limits=limits)
    agent.spawn(run_target_monitors(agent))
    join_queue = agent.gate._join_queue

    async def join_noted(ticket: Ticket) -> NotRun | None:
        HAS_WAITED.set(True)
        return await join_queue(ticket)

    agent.gate._join_queue = join_noted  # type: ignore[method-assign]

    async def serve(attempt: Attempt) -> bool:
        outcome = await run_attempt(agent, attempt)
        if not isinstance(outcome, AttemptAnswer):
            return False
        return await read_whole(outcome.body)

    return serve


def build_direct(engine: MemoryEngine) -> Serve:
    """Build a function that serves an attempt without a gate.

    :return: coroutine function; its result is whether the answer was complete.
    """

    async def serve(attempt: Attempt) -> bool:
        outcome = await engine.start(
            EngineRequest(
                attempt=attempt.attempt,
                method=attempt.method,
                path=attempt.path,
                headers=attempt.headers,
                body=attempt.body,
                version=attempt.version,
            ),
        )
        if not isinstance(outcome, EngineAnswer):
            return False
        return await read_whole(outcome.body)

    return serve


async def read_whole(body: AsyncIterator[bytes]) -> bool:
    """Read a body and tell whether it was complete."""
    try:
        async for _chunk in body:
            await asyncio.sleep(0)
    except (AnswerBrokenError, EngineBrokenError):
        return False
    finally:
        await body.aclose()  # type: ignore[attr-defined]  # always a generator
    return True


async def send_one(serve: Serve, sample: Sample, *, counted: bool) -> None:
    """Send one request and count its result."""
    number = random.randrange(ACCOUNTS)
    attempt = make_attempt(
        account=f'account-{number}', time_left=DEADLINE_SECONDS
    )
    began = time.perf_counter()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DEADLINE_SECONDS):
            served = await serve(attempt)
            if counted:
                count(sample, served, time.perf_counter() - began)
    sample.sent += counted


def count(sample: Sample, served: bool, took: float) -> None:
    """Count one request that ended before its deadline."""
    if served:
        sample.good += 1
    elif HAS_WAITED.get():
        sample.waited.append(took)
    else:
        sample.at_once.append(took)


async def take_sample(
    build: Callable[[MemoryEngine], Serve], load: int
) -> Sample:
    """Send requests at random intervals and count after the warm-up.

    :param load: mean request rate, as a multiple of ``PEAK_RATE``.
    """
    rng = random.Random(load)
    serve = build(make_engine())
    sample = Sample()
    started = time.perf_counter()
    tasks = set()
    while (now := time.perf_counter() - started) < RUN_SECONDS:
        counted = now >= WARM_UP_SECONDS
        task = asyncio.create_task(send_one(serve, sample, counted=counted))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(load * PEAK_RATE))
    await asyncio.wait(tasks)
    return sample


def read_percentiles(name: str, seconds: list[float]) -> Row:
    """Return median and 95th percentile in milliseconds.

    :return: no fields for fewer than two values.
    """
    if len(seconds) < 2:
        return {}
    twentieths = statistics.quantiles(seconds, n=20)
    return {
        f'{name}_p50_ms': round(twentieths[9] * MILLISECONDS, 3),
        f'{name}_p95_ms': round(twentieths[-1] * MILLISECONDS, 3),
    }


def run() -> Iterator[Row]:
    """Yield a row with the gate and one without, relative to one peak."""
    samples = {
        build: [asyncio.run(take_sample(build, load)) for load in LOADS]
        for build in (build_gated, build_direct)
    }
    peak = max(each.goodput for taken in samples.values() for each in taken)
    for build, taken in samples.items():
        single, double, fivefold = taken
        sent = sum(each.sent for each in taken)
        at_once = [took for each in taken for took in each.at_once]
        waited = [took for each in taken for took in each.waited]
        yield {
            'measure': 'overload',
            'baseline': build is build_direct,
            'goodput_1x': round(single.goodput / peak, 3),
            'goodput_2x': round(double.goodput / peak, 3),
            'goodput_5x': round(fivefold.goodput / peak, 3),
            'refused_share': round((len(at_once) + len(waited)) / sent, 3),
            'at_once_share': round(len(at_once) / sent, 3),
            **read_percentiles('at_once', at_once),
            **read_percentiles('waited', waited),
            'peak_per_second': round(peak, 1),
        }

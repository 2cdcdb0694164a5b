"""Rounds in which one of several daemons is stopped in calm.

Requests of every kind arrive all through the grace time and beyond, on new
and on kept connections, some with slow bodies and many that last longer than
the time that is left. A request that the daemon has received whole gets a
complete answer or a true refusal, and callers that are turned away are served
by another daemon. Play many with ``python -m fakes.stop_rounds --seeds 200``.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import random
from collections.abc import Iterator, Sequence

import click

from fakes.change_judge import Asked, Circumstances, judge
from fakes.change_plans import (
    PLAIN_PARTS,
    SHARED_PARTS,
    STREAM_PARTS,
    Breach,
    RequestPlan,
    RunPlan,
)
from fakes.change_rounds import (
    PORTS,
    STOP,
    ChangeRound,
    describe_asked,
    play,
    play_many,
)
from fakes.change_state import ROUTES, RouteName
from fakes.fleet_parts import FLEET
from fakes.raw_caller import RawCaller
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.reply import Reason

GRACE_SECONDS = FLEET.grace_seconds
# Requests arrive from this long before SIGTERM to this long after the grace.
AROUND_SECONDS = 1.5
ARRIVAL_GAPS = (0.05, 0.1)
# Kept connections are opened this long before SIGTERM.
OPENED_SECONDS = 1.8
TIMEOUTS = (3.0, 6.0, 10.0)
DEADLINES = (1.5, 3.0, 6.0, 10.0)
RUN_SECONDS = (0.05, 0.1, 0.3, 1.0, 2.0, 4.0, 6.0)
BODY_SECONDS = (0.0, 0.0, 0.0, 0.1, 0.5, 2.0, 5.0)
# The body of a request ends at least this long before its time limit.
SENDING_SECONDS = 0.3
# From SIGTERM until a busy daemon handles it.
SIGNAL_SECONDS = (0.0, 0.01, 0.05, 0.2, 0.4)
# A process needs this long to exit after its daemon has stopped.
EXIT_SECONDS = 0.3
OTHER_LISTEN = {
    key: f'127.0.0.1:{port + 1000 * (key != "store")}'
    for key, port in PORTS.items()
}
AGAIN = 'again-'


class StopRound(ChangeRound):
    """Two daemons, of which one is stopped.

    :param signal_seconds: from SIGTERM until the daemon handles it; drawn if
        not given.
    :param requests: plans of the requests; none to draw them.
    """

    def __init__(
        self,
        seed: int,
        *,
        folder: pathlib.Path,
        signal_seconds: float | None = None,
        requests: Sequence[RequestPlan] | None = None,
    ) -> None:
        rng = random.Random(f'{seed} stop')
        timeout = rng.choice(TIMEOUTS)
        super().__init__(
            seed,
            folder=folder,
            silences=False,
            kinds=(STOP,),
            requests=requests or list(draw_arrivals(rng, timeout)),
        )
        self.repeated: list[Asked] = []
        self._folder = folder
        self._signal_seconds = (
            rng.choice(SIGNAL_SECONDS)
            if signal_seconds is None
            else signal_seconds
        )
        self._ended_at = 0.0
        self._repeats = {
            plan.attempt: dataclasses.replace(
                plan, attempt=f'{AGAIN}{plan.attempt}', body_pauses=(0.0,)
            )
            for plan in self._requests
        }
        self._plans |= {plan.attempt: plan for plan in self._repeats.values()}
        self.state.set_timeouts(timeout if requests is None else max(TIMEOUTS))

    async def _open_others(self, stack: contextlib.AsyncExitStack) -> None:
        await super()._open_others(stack)
        await self._open_daemon(
            stack, self._folder / 'entry-2.toml', OTHER_LISTEN
        )

    async def _exit(self) -> None:
        await asyncio.sleep(self._signal_seconds)
        await super()._exit()
        self._ended_at = read_clock()

    async def _ask(self, plan: RequestPlan, first_at: float) -> None:
        try:
            await super()._ask(plan, first_at)
        except ConnectionResetError:
            # The kept connection was closed before the request.
            await self._repeat(plan)
            return
        known = [each for each in self.asked if each.plan is plan]
        if not known or is_turned_away(known[0]):
            await self._repeat(plan)

    async def _repeat(self, plan: RequestPlan) -> None:
        """Ask the other daemon."""
        repeat = self._repeats[plan.attempt]
        caller = RawCaller(port=PORTS['callers'] + 1000)
        await caller.open()
        body = [(0.0, repeat.attempt.encode())]
        reply = await caller.ask(repeat.path, repeat.list_headers(), body)
        self.repeated.append(self._describe(repeat, caller, reply))
        caller.close()

    def _judge(self) -> None:
        super()._judge()
        for asked in self.asked:
            if asked.is_received and asked.reply.status is None:
                self.findings.append(
                    f'no answer at the end: {describe_asked(asked)}'
                )
        calm = Circumstances(refusable=frozenset(), grace_seconds=GRACE_SECONDS)
        for asked in self.repeated:
            text = judge(asked, calm)
            if text is not None:
                self.findings.append(
                    f'at the other daemon {text}: {describe_asked(asked)}'
                )
        stopped_at = self._terminated_at or 0
        if self._ended_at + EXIT_SECONDS > stopped_at + GRACE_SECONDS:
            self.findings.append('the daemon was killed')


def is_turned_away(asked: Asked) -> bool:
    """Tell whether a stopping daemon refused a request."""
    return asked.reply.status == 503 and (
        f'{Reason.STOPPING}'.encode() in asked.reply.body
    )


def draw_arrivals(rng: random.Random, timeout: float) -> Iterator[RequestPlan]:
    """Draw requests that arrive from before SIGTERM until after the end.

    :param timeout: time limit of all routes; bodies end before it.
    """
    after = -AROUND_SECONDS
    for number in itertools.count(256):
        plan = _draw_request(rng, f'{number:x}', after, rng.choice(ROUTES))
        longest = min(timeout, plan.deadline) - SENDING_SECONDS
        if sum(plan.body_pauses) > longest:
            plan = dataclasses.replace(plan, body_pauses=(longest,))
        yield plan
        after += rng.uniform(*ARRIVAL_GAPS)
        if after > GRACE_SECONDS + AROUND_SECONDS:
            return


def _draw_request(
    rng: random.Random, attempt: str, after: float, route: RouteName
) -> RequestPlan:
    plan = RequestPlan(
        attempt=attempt,
        route=route,
        after=after,
        deadline=rng.choice(DEADLINES),
        body_pauses=tuple(
            rng.choice(BODY_SECONDS) for _ in range(rng.choice((1, 1, 2)))
        ),
        reuses=rng.random() < 0.6,
        lead=after + OPENED_SECONDS,
        shared_parts=tuple(rng.sample(SHARED_PARTS, rng.randint(0, 1))),
        runs=(),
    )
    parts = rng.choice(STREAM_PARTS) if plan.is_stream else PLAIN_PARTS
    return dataclasses.replace(
        plan, runs=(_draw_first(rng, parts), _draw_run(rng, parts))
    )


def _draw_first(rng: random.Random, parts: int) -> RunPlan:
    run = _draw_run(rng, parts)
    if rng.random() < 0.2:
        breach = rng.choice((Breach.DECLINES, Breach.DECLINES_LATE))
        return dataclasses.replace(run, breach=breach)
    return run


def _draw_run(rng: random.Random, parts: int) -> RunPlan:
    seconds = rng.choice(RUN_SECONDS)
    if parts == PLAIN_PARTS:
        return RunPlan(pauses=(seconds, *itertools.repeat(0.0, parts)))
    first = rng.choice((0.01, 0.1, min(seconds / 2, 1.0)))
    gap = (seconds - first) / parts if seconds > first else 0.01
    return RunPlan(pauses=(first, *itertools.repeat(gap, parts)))


def play_stop(
    seed: int,
    *,
    signal_seconds: float | None = None,
    requests: Sequence[RequestPlan] | None = None,
) -> StopRound:
    """Play the round of a seed in virtual time."""
    return play(
        seed,
        lambda folder: StopRound(
            seed,
            folder=folder,
            signal_seconds=signal_seconds,
            requests=requests,
        ),
    )


@click.command()
@click.option('--seeds', default=50, help='Number of rounds.')
@click.option('--first', default=1, help='Seed of the first round.')
@click.option(
    '--signal-seconds',
    type=float,
    default=None,
    help='Seconds until the daemon handles SIGTERM; drawn if not given.',
)
def main(seeds: int, first: int, signal_seconds: float | None) -> None:
    """Play rounds and print what happened in those with findings."""
    play_many(
        range(first, first + seeds),
        lambda seed: play_stop(seed, signal_seconds=signal_seconds),
    )


if __name__ == '__main__':
    main()

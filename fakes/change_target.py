"""Targets that follow the plans of requests and note their runs."""

import asyncio
import dataclasses
import enum
from collections.abc import Mapping

from fakes.change_plans import Breach, RequestPlan, RunPlan
from fakes.fleet_target import (
    FleetTarget,
    Received,
    Script,
    ScriptedConnection,
)
from ragwortcourse.clock import read_clock

STREAM_END = b'0\r\n\r\n'
PART = 'part {}\n'


class RunEnd(enum.StrEnum):
    """How a run at a target ended."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    DECLINED = 'not run'
    BROKE_OFF = 'broke off'
    LEFT = 'given up by the daemon'


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request at one target.

    :param parts: parts of the answer sent so far.
    """

    attempt: str
    target: str
    began_at: float
    end: RunEnd = RunEnd.RUNNING
    ended_at: float | None = None
    parts: int = 0

    def finish(self, end: RunEnd) -> None:
        """Note how the run ended."""
        self.end = end
        self.ended_at = read_clock()


def write_parts(plan: RequestPlan, first: int = 0) -> list[bytes]:
    """Write the parts of the whole answer of a request.

    :param first: number of the first part of a stream that goes on.
    """
    if plan.is_stream:
        return [
            f'id: {number}\ndata: {plan.attempt} {number}\n\n'.encode()
            for number in range(first, plan.events)
        ]
    return [PART.format(number).encode() for number in range(plan.events)]


def build_target(
    name: str, plans: Mapping[str, RequestPlan], runs: list[Run]
) -> FleetTarget:
    """Build a target.

    :param plans: requests by attempt id; others are answered at once.
    :param runs: takes each run as it begins.
    """
    return FleetTarget(_build_script(name, plans, runs))


def _build_script(
    name: str, plans: Mapping[str, RequestPlan], runs: list[Run]
) -> Script:
    async def serve(received: Received, connection: ScriptedConnection) -> None:
        plan = plans.get(received.attempt)
        if plan is None:
            await connection.answer(received)
            return
        before = sum(run.attempt == received.attempt for run in runs)
        run = Run(attempt=received.attempt, target=name, began_at=read_clock())
        runs.append(run)
        script = plan.runs[min(before, len(plan.runs) - 1)]
        try:
            await _follow(plan, script, run, received, connection)
        except (asyncio.CancelledError, OSError):
            run.finish(RunEnd.LEFT)
            raise

    return serve


async def _follow(
    plan: RequestPlan,
    script: RunPlan,
    run: Run,
    received: Received,
    connection: ScriptedConnection,
) -> None:
    if script.breach is Breach.DECLINES:
        await connection.answer(
            received, 503, b'', ragwortcourse_not_executed='1'
        )
        run.finish(RunEnd.DECLINED)
        return
    first = int(received.headers.get('last-event-id', -1)) + 1
    parts = write_parts(plan, first)
    # A stream that goes on here has fewer parts left.
    for number, pause in enumerate(script.pauses[: len(parts) + 1]):
        await asyncio.sleep(pause)
        if script.breach is not None and number == script.breaks_at:
            run.finish(RunEnd.BROKE_OFF)
            connection.reset()
            return
        if not number:
            await _begin(plan, received, connection, parts)
        else:
            run.parts = number
            await connection.send(_frame(plan, parts[number - 1]))
    if plan.is_stream:
        await connection.send(STREAM_END)
    run.finish(RunEnd.ANSWERED)


async def _begin(
    plan: RequestPlan,
    received: Received,
    connection: ScriptedConnection,
    parts: list[bytes],
) -> None:
    if plan.is_stream:
        await connection.begin(
            received,
            transfer_encoding='chunked',
            content_type='text/event-stream',
        )
    else:
        length = sum(map(len, parts))
        await connection.begin(received, content_length=str(length))


def _frame(plan: RequestPlan, part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part) if plan.is_stream else part

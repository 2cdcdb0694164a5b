"""Runs each attempt at this agent's target at most once and reports on it."""

import asyncio
import contextlib
from typing import Final

from opentelemetry import metrics, trace

from ragwortcourse.agent.agent import Agent
from ragwortcourse.agent.attempt_record import AttemptRecord
from ragwortcourse.agent.configuration_fetch import schedule_configuration_fetch
from ragwortcourse.agent.refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    VERSION_NOT_SERVED,
    describe_barred,
    refuse,
    refuse_duplicate,
)
from ragwortcourse.agent.relay import (
    cancel_run,
    close_body,
    find_mismatch,
    is_model_stream,
    read_to_end,
    relay_answer,
)
from ragwortcourse.agent.relay_progress import RelayProgress, read_length
from ragwortcourse.agent.run import Run
from ragwortcourse.agent.ticket import Ticket
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineUnreached,
    StartOutcome,
)
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
    AttemptOutcome,
)
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.outcome import NotRun, Unknown
from ragwortcourse.telemetry.context import extract_context

TRACER: Final = trace.get_tracer(__name__)
METER: Final = metrics.get_meter(__name__)
DROPPED: Final = METER.create_counter('ragwortcourse.answers.dropped')


async def run_attempt(agent: Agent, attempt: Attempt) -> AttemptOutcome:
    """Run an attempt at most once, as soon as the gate grants a permit.

    :return: the answer, with its body still streaming, or a refusal that
        says whether the work ran.
    """
    schedule_configuration_fetch(agent, attempt.sender, attempt.generation)
    known = agent.records.find(attempt.attempt)
    if known is not None:
        return refuse_duplicate(agent, known.state)
    context = extract_context(attempt.headers)
    with TRACER.start_as_current_span('agent.attempt', context=context):
        record = agent.records.accept(attempt.attempt)
        agent.version_use.begin(attempt)
        admitted = await admit_attempt(agent, attempt, record)
        if isinstance(admitted, Run):
            return await start_run(admitted)
        forget_refused(agent, attempt, record)
        return refuse(agent, admitted)


async def bar_attempt(
    agent: Agent, attempt: AttemptId, age: float
) -> AttemptReport:
    """Report an attempt and bar it from starting if it has not started.

    :param age: seconds since the attempt was sent.
    """
    return agent.records.bar(attempt, age)


async def admit_attempt(
    agent: Agent, attempt: Attempt, record: AttemptRecord
) -> Run | NotRun:
    """Acquire a permit for an attempt, or return the reason for refusal."""
    unserved = find_unserved(agent, attempt)
    if unserved is not None:
        return unserved
    ticket = Ticket(
        account=attempt.account,
        weight=attempt.weight,
        deadline=read_clock() + attempt.time_left,
        priority=attempt.priority,
        suspect=attempt.suspect,
    )
    try:
        refusal = await agent.gate.acquire(ticket)
    except asyncio.CancelledError:
        forget_refused(agent, attempt, record)
        raise
    if refusal is not None:
        return refusal
    # The attempt may have been barred, or its version removed, while the
    # attempt waited for a permit.
    if record.state is AttemptState.BARRED:
        refusal = describe_barred()
    else:
        refusal = find_unserved(agent, attempt)
    if refusal is not None:
        agent.gate.release_uncharged(ticket)
        return refusal
    return Run(agent=agent, attempt=attempt, record=record, ticket=ticket)


def forget_refused(
    agent: Agent, attempt: Attempt, record: AttemptRecord
) -> None:
    """Drop the record of an attempt that never ran, unless it was barred."""
    agent.records.drop_refused(record)
    agent.version_use.end(attempt)


def find_unserved(agent: Agent, attempt: Attempt) -> NotRun | None:
    """Return a refusal if the target may not serve the model version."""
    if attempt.model is None:
        return None
    served = attempt.version is not None and agent.served.allows(
        attempt.model, attempt.version, attempt.adapter
    )
    if served:
        return None
    return NotRun(
        code=VERSION_NOT_SERVED,
        detail=f'{attempt.model} {attempt.version} is not served here',
    )


async def start_run(run: Run) -> AttemptOutcome:
    """Send the work to the target and wait for the head of its answer."""
    request = run.build_request()
    start = asyncio.ensure_future(run.agent.engine.start(request))
    try:
        async with asyncio.timeout(run.attempt.time_left):
            outcome = await asyncio.shield(start)
    except TimeoutError:
        run.agent.spawn(finish_late(run, start))
        return refuse(
            run.agent,
            Unknown(
                code='deadline_passed',
                detail='the target had not answered by the deadline',
            ),
            GATEWAY_TIMEOUT,
        )
    except asyncio.CancelledError:
        run.agent.spawn(finish_late(run, start))
        raise
    return await judge_outcome(run, outcome)


async def finish_late(run: Run, start: asyncio.Future[StartOutcome]) -> None:
    """End work whose caller no longer waits for the answer.

    Idempotent work is cancelled. Other work runs to its end, so that its
    outcome can be reported.
    """
    if run.attempt.idempotent:
        start.cancel()
        await asyncio.wait([start])
        await cancel_run(run, None)
        return
    outcome = await judge_outcome(run, await start)
    if isinstance(outcome, AttemptAnswer):
        with contextlib.suppress(AnswerBrokenError):
            await read_to_end(outcome.body)


async def judge_outcome(run: Run, outcome: StartOutcome) -> AttemptOutcome:
    """Map the start of the target's answer to the attempt's outcome."""
    agent = run.agent
    if isinstance(outcome, EngineAnswer):
        return await pass_answer(run, outcome)
    if isinstance(outcome, EngineUnreached):
        agent.limit.reset_to_cold('unreached')
        run.end(AttemptState.REFUSED)
        refusal = NotRun(
            code='target_unreached', detail=outcome.detail, retry_after=1
        )
        return refuse(agent, refusal)
    await run.end_lost()
    return refuse(
        agent,
        Unknown(code='target_lost', detail=outcome.detail),
        BAD_GATEWAY,
        suspect=run.record.suspect,
    )


async def pass_answer(run: Run, answer: EngineAnswer) -> AttemptOutcome:
    """Relay an answer if it matches the attempt, else drop it."""
    mismatch = find_mismatch(run, answer)
    if mismatch is not None:
        return await drop_answer(run, answer, mismatch)
    run.note_first_byte(answer)
    is_stream = is_model_stream(run, answer)
    progress = RelayProgress(
        answer=answer, length=read_length(answer), is_stream=is_stream
    )
    body = relay_answer(run, progress)
    await anext(body)
    return AttemptAnswer(
        status=answer.status,
        headers=answer.headers,
        body=body,
        spare=run.agent.gate.spare,
        generation=run.agent.holder.generation,
        version=answer.version,
    )


async def drop_answer(
    run: Run, answer: EngineAnswer, mismatch: str
) -> AttemptOutcome:
    """Drop an answer to another attempt or from another model version."""
    DROPPED.add(1, {'code': mismatch})
    if run.attempt.idempotent:
        await cancel_run(run, answer)
    else:
        await close_body(answer)
        run.end(AttemptState.BROKEN)
    detail = f'answer for {answer.attempt} from version {answer.version}'
    return refuse(run.agent, Unknown(code=mismatch, detail=detail), BAD_GATEWAY)

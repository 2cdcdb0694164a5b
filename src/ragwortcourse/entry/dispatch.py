"""One attempt at a piece of work, and what its outcome allows next."""

import asyncio
import dataclasses
from typing import Final

from opentelemetry import metrics, propagate, trace

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.answer_body import close_body
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.entry import Entry
from ragwortcourse.entry.work import Work
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
    AttemptLost,
    AttemptOutcome,
    AttemptRefused,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Completed, NotRun, Unknown

METER: Final = metrics.get_meter(__name__)
TRACER: Final = trace.get_tracer(__name__)
ATTEMPTS: Final = METER.create_counter(
    'entry.attempts', description='Attempts by their result.'
)
UNREACHED_RETRY_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """The target answers; its first chunk is here.

    :param first: first chunk of the body; none where the body is empty.
    """

    answer: AttemptAnswer
    first: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """No answer from this attempt.

    :param outcome: what became of the work by this attempt.
    :param is_refusal: true where the gate turned it down.
    :param status: HTTP status of the gate's refusal.
    """

    outcome: NotRun | Unknown | Completed
    is_refusal: bool = False
    status: int | None = None


def build_attempt(
    entry: Entry, work: Work, choice: Choice, attempt: AttemptId
) -> Attempt:
    """Message that asks an agent to run the work."""
    headers = dict(work.call.headers)
    propagate.inject(headers)
    return Attempt(
        attempt=attempt,
        request=work.call.request,
        account=work.account.name,
        weight=work.account.weight,
        deployment=choice.deployment.name,
        generation=entry.holder.generation,
        sender=entry.settings.listen.peers,
        idempotent=work.idempotent,
        method=work.call.method,
        path=work.call.path,
        headers=headers,
        body=work.call.body,
        time_left=work.expires_at - read_clock(),
        fingerprint=work.fingerprint,
        model=work.model,
        version=choice.version,
        adapter=work.adapter,
        priority=work.call.priority,
    )


async def run_choice(
    entry: Entry, work: Work, choice: Choice, attempt: AttemptId
) -> Started | Failed:
    """Send the work to one target and wait until its answer begins.

    The target's count of requests under way is the caller's to release
    once a started answer has ended.
    """
    record = choice.record
    record.in_flight += 1
    record.spare -= 1
    started = False
    sent_at = read_clock()
    try:
        step = await _send(entry, work, choice, attempt, sent_at)
        started = isinstance(step, Started)
    finally:
        if not started:
            release_choice(choice)
    ATTEMPTS.add(1, {'result': type(step).__name__})
    return step


def release_choice(choice: Choice) -> None:
    """Count a request as no longer under way at its target."""
    choice.record.in_flight -= 1
    choice.record.spare += 1


async def _send(
    entry: Entry,
    work: Work,
    choice: Choice,
    attempt: AttemptId,
    sent_at: float,
) -> Started | Failed:
    with TRACER.start_as_current_span('entry.attempt') as span:
        span.set_attribute('target', choice.record.target)
        message = build_attempt(entry, work, choice, attempt)
        outcome = await _start(entry, choice, message)
        if isinstance(outcome, AttemptAnswer):
            return await _receive(entry, work, choice, message, outcome)
        return await _settle(entry, work, choice, message, outcome, sent_at)


async def _start(
    entry: Entry, choice: Choice, message: Attempt
) -> AttemptOutcome:
    try:
        async with asyncio.timeout(max(message.time_left, 0)):
            return await entry.agent_port.start(choice.record.address, message)
    except TimeoutError:
        return AttemptLost(detail='no answer before the deadline')


async def _receive(
    entry: Entry,
    work: Work,
    choice: Choice,
    message: Attempt,
    answer: AttemptAnswer,
) -> Started | Failed:
    choice.record.spare = answer.spare
    if choice.version is not None and answer.version != choice.version:
        await close_body(answer.body)
        work.trail.note(
            DecisionPoint.VERSION,
            'answer dropped',
            seen={'wanted': choice.version, 'got': answer.version},
        )
        return Failed(
            outcome=Unknown(
                code=errors.WRONG_VERSION,
                detail='The answer came from another model version.',
            )
        )
    try:
        first = await anext(answer.body, None)
    except AnswerBrokenError as error:
        lost = AttemptLost(detail=str(error))
        return await _settle(
            entry, work, choice, message, lost, read_clock()
        )
    return Started(answer=answer, first=first)


async def _settle(
    entry: Entry,
    work: Work,
    choice: Choice,
    message: Attempt,
    outcome: AttemptRefused | AttemptUnreached | AttemptLost,
    sent_at: float,
) -> Failed:
    if isinstance(outcome, AttemptRefused):
        choice.record.spare = outcome.spare
        return Failed(
            outcome=outcome.outcome, is_refusal=True, status=outcome.status
        )
    if isinstance(outcome, AttemptUnreached):
        return Failed(
            outcome=NotRun(
                code=errors.TARGET_UNREACHED,
                detail=f'No connection to {choice.record.target}.',
                retry_after=UNREACHED_RETRY_SECONDS,
            )
        )
    if work.idempotent:
        return Failed(
            outcome=Unknown(
                code=errors.OUTCOME_UNKNOWN,
                detail=f'{choice.record.target}: {outcome.detail}.',
            )
        )
    age = read_clock() - sent_at
    report = await entry.agent_port.bar(
        choice.record.address, message.attempt, age
    )
    work.trail.note(
        DecisionPoint.OUTCOME,
        'asked the agent',
        seen={'lost': outcome.detail, 'report': report},
    )
    if not isinstance(report, AttemptReport):
        return Failed(outcome=describe_unknown(choice, report.detail))
    return Failed(outcome=judge_report(choice, report))


def judge_report(
    choice: Choice, report: AttemptReport
) -> NotRun | Unknown | Completed:
    """What an agent's report says about the work."""
    if report.proves_not_run:
        return NotRun(
            code=errors.TARGET_UNREACHED,
            detail=f'{choice.record.target} never started the work.',
            retry_after=UNREACHED_RETRY_SECONDS,
        )
    if report.state is AttemptState.COMPLETED:
        return Completed(version=report.version)
    return describe_unknown(choice, f'attempt is {report.state}')


def describe_unknown(choice: Choice, detail: str) -> Unknown:
    """Unknown outcome of an attempt at one target."""
    return Unknown(
        code=errors.OUTCOME_UNKNOWN,
        detail=f'{choice.record.target} can not say if it ran: {detail}.',
    )

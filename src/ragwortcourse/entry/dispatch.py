"""One attempt at a piece of work, and what its outcome allows next."""

import asyncio
import dataclasses
from http import HTTPStatus
from typing import Final

import msgspec
from opentelemetry import metrics, propagate, trace

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.answer_body import close_body
from ragwortcourse.entry.bars import bar_attempt
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.entry import Entry
from ragwortcourse.entry.work import Work
from ragwortcourse.identifiers import AttemptId, TargetName
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
from ragwortcourse.messages.peer_port import PeerSilent

METER: Final = metrics.get_meter(__name__)
TRACER: Final = trace.get_tracer(__name__)
ATTEMPTS: Final = METER.create_counter(
    'entry.attempts', description='Attempts by their result.'
)
UNREACHED_RETRY_SECONDS: Final = 1.0
WHOLE_ANSWER_BYTES: Final = 262_144


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
    :param is_lost: true where the attempt was sent and its answer lost.
    :param status: HTTP status of the gate's refusal.
    :param suspect: true where the target died while it ran the attempt.
    :param was_outdated: true where the target serves other versions than
        was believed; it can be asked again.
    """

    outcome: NotRun | Unknown | Completed
    is_refusal: bool = False
    is_lost: bool = False
    status: int | None = None
    suspect: bool = False
    was_outdated: bool = False


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
        suspect=entry.crashers.is_suspect(work.fingerprint),
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
    note_standing(entry, choice, step)
    ATTEMPTS.add(1, {'result': type(step).__name__})
    return step


def note_standing(entry: Entry, choice: Choice, step: Started | Failed) -> None:
    """Let a target's outcome count for or against it.

    A refusal by its gate is neither.
    """
    record = choice.record
    if isinstance(step, Started):
        if step.answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            entry.outliers.note_good(record.target)
        else:
            entry.outliers.note_bad(record, entry.rng)
    elif step.is_refusal:
        return
    else:
        entry.outliers.note_bad(record, entry.rng)


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
        outcome: AttemptOutcome | Started | Failed
        try:
            async with asyncio.timeout(max(message.time_left, 0)):
                outcome = await _begin(entry, work, choice, message)
        except TimeoutError:
            outcome = AttemptLost(detail='no answer before the deadline')
        if isinstance(outcome, Started | Failed):
            return outcome
        return await _settle(entry, work, choice, message, outcome, sent_at)


async def _begin(
    entry: Entry, work: Work, choice: Choice, message: Attempt
) -> AttemptRefused | AttemptUnreached | AttemptLost | Started | Failed:
    outcome = await entry.agent_port.start(choice.record.address, message)
    if not isinstance(outcome, AttemptAnswer):
        return outcome
    choice.record.spare = outcome.spare
    if choice.version is not None and outcome.version != choice.version:
        return await _drop_answer(work, choice, outcome)
    try:
        first = await read_start(outcome)
    except AnswerBrokenError as error:
        return AttemptLost(detail=str(error))
    return Started(answer=outcome, first=first)


async def read_start(answer: AttemptAnswer) -> bytes | None:
    """First chunk of an answer, or all of one that is small.

    :raises AnswerBrokenError: where the answer ends short.
    """
    length = answer.headers.get('content-length', '')
    if not length.isdecimal() or int(length) > WHOLE_ANSWER_BYTES:
        return await anext(answer.body, None)
    chunks = [chunk async for chunk in answer.body]
    return b''.join(chunks) or None


async def _drop_answer(
    work: Work, choice: Choice, answer: AttemptAnswer
) -> Failed:
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
            outcome=outcome.outcome,
            status=outcome.status,
            is_refusal=isinstance(outcome.outcome, NotRun),
            suspect=outcome.suspect,
            was_outdated=_learn_served(choice, outcome),
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
        unknown = describe_unknown(choice.record.target, outcome.detail)
        return Failed(outcome=unknown, is_lost=True)
    age = read_clock() - sent_at
    report = await bar_attempt(
        entry, choice.record.address, message.attempt, age
    )
    work.trail.note(
        DecisionPoint.OUTCOME,
        'asked the agent',
        seen={'lost': outcome.detail, 'report': report},
    )
    return Failed(
        outcome=judge_report(choice.record.target, report),
        is_lost=True,
        suspect=isinstance(report, AttemptReport) and report.suspect,
    )


def _learn_served(choice: Choice, refused: AttemptRefused) -> bool:
    status = choice.record.status
    if refused.served is None or status is None:
        return False
    choice.record.status = msgspec.structs.replace(
        status, served=refused.served
    )
    return status.served != refused.served


def judge_report(
    target: TargetName, report: AttemptReport | PeerSilent
) -> NotRun | Unknown | Completed:
    """What an agent's report says about the work."""
    if isinstance(report, PeerSilent):
        return describe_unknown(target, report.detail)
    if report.proves_not_run:
        return NotRun(
            code=errors.TARGET_UNREACHED,
            detail=f'{target} never started the work.',
            retry_after=UNREACHED_RETRY_SECONDS,
        )
    if report.state is AttemptState.COMPLETED:
        return Completed(version=report.version)
    return describe_unknown(target, f'the attempt is {report.state}')


def describe_unknown(target: TargetName, detail: str) -> Unknown:
    """Unknown outcome of an attempt at one target."""
    return Unknown(
        code=errors.OUTCOME_UNKNOWN,
        detail=f'{target} can not say if it ran: {detail}.',
    )

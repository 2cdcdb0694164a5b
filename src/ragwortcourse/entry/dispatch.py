"""Sends one attempt to a target and records its outcome."""

import asyncio
from http import HTTPStatus
from typing import Final

from opentelemetry import metrics, trace

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.answer_body import close_body
from ragwortcourse.entry.attempt_result import Failed, Started
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.settlement import settle_attempt
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
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Unknown
from ragwortcourse.telemetry.context import inject_context

METER: Final = metrics.get_meter(__name__)
TRACER: Final = trace.get_tracer(__name__)
ATTEMPTS: Final = METER.create_counter(
    'entry.attempts', description='Attempts by their result.'
)
WHOLE_ANSWER_BYTES: Final = 262_144


def build_attempt(
    entry: EntryState, work: AdmittedCall, choice: Choice, attempt: AttemptId
) -> Attempt:
    """Build the message that asks an agent to run the work."""
    headers = dict(work.call.headers)
    inject_context(headers)
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


async def dispatch_attempt(
    entry: EntryState, work: AdmittedCall, choice: Choice, attempt: AttemptId
) -> Started | Failed:
    """Send the work to one target and wait until its answer starts.

    If an answer starts, the caller of this function must call
    :func:`count_attempt_ended` at the end of that answer.
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
            count_attempt_ended(choice)
    record_target_outcome(entry, choice, step)
    ATTEMPTS.add(1, {'result': type(step).__name__})
    return step


def record_target_outcome(
    entry: EntryState, choice: Choice, step: Started | Failed
) -> None:
    """Report the outcome of an attempt to the outlier detector.

    Answers with a status below 500 are successes. Refusals by the agent's
    admission gate are not counted.
    """
    record = choice.record
    if isinstance(step, Started):
        if step.answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            entry.outliers.record_success(record.target)
        else:
            entry.outliers.record_failure(record, entry.rng)
    elif step.is_refusal:
        return
    else:
        entry.outliers.record_failure(record, entry.rng)


def count_attempt_ended(choice: Choice) -> None:
    """Remove an ended attempt from this daemon's counts for its target.

    The agent releases the permit itself.
    """
    choice.record.in_flight -= 1
    choice.record.spare += 1


async def _send(
    entry: EntryState,
    work: AdmittedCall,
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
        return await settle_attempt(
            entry, work, choice, message, outcome, sent_at
        )


async def _begin(
    entry: EntryState, work: AdmittedCall, choice: Choice, message: Attempt
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
    """Read the first chunk of an answer; read a small answer completely.

    An answer is small if its length is known and at most
    ``WHOLE_ANSWER_BYTES``.

    :return: the bytes read; none if the body is empty.
    :raises AnswerBrokenError: if the answer ends before it is complete.
    """
    length = answer.headers.get('content-length', '')
    if not length.isdecimal() or int(length) > WHOLE_ANSWER_BYTES:
        return await anext(answer.body, None)
    chunks = [chunk async for chunk in answer.body]
    return b''.join(chunks) or None


async def _drop_answer(
    work: AdmittedCall, choice: Choice, answer: AttemptAnswer
) -> Failed:
    await close_body(answer.body)
    work.decision_log.note(
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

"""Serves calls, from admission to the end of the answer."""

import dataclasses

import msgspec

from ragwortcourse.entry import errors
from ragwortcourse.entry.admission import admit_call
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.answers import (
    CALLS,
    build_answer,
    build_failure,
    note_error,
)
from ragwortcourse.entry.attempt_result import Failed
from ragwortcourse.entry.attempts import Plan, run_attempts
from ragwortcourse.entry.claimed_calls import serve_claimed
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.routing import choose_target
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.messages.call import Call, CallAnswer, CallError, CallOutcome
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import NotRun


async def serve_call(entry: EntryState, call: Call) -> CallOutcome:
    """Serve one call and return the target's answer or an error.

    The caller of this function must read the body to its end or close it.
    """
    outcome = await _answer_call(entry, call)
    if isinstance(outcome, CallError):
        return _spread_retries(entry, outcome)
    return outcome


def _spread_retries(entry: EntryState, refused: CallError) -> CallError:
    """Spread the retries of callers that are refused at the same time."""
    wait = refused.error.retry_after
    if wait is None:
        return refused
    later = entry.retry_scheduler.book(wait, entry.rng)
    error = msgspec.structs.replace(refused.error, retry_after=later)
    return dataclasses.replace(refused, error=error)


async def _answer_call(entry: EntryState, call: Call) -> CallOutcome:
    decision_log = entry.records.begin(call.request)
    work = admit_call(entry, call, decision_log)
    if isinstance(work, NotRun):
        decision_log.note(DecisionPoint.ADMISSION, f'refused: {work.code}')
        CALLS.add(1, {'result': work.code})
        return errors.build_error(call.request, work)
    decision_log.note(
        DecisionPoint.ADMISSION,
        'admitted',
        seen={
            'account': work.account.name,
            'generation': entry.holder.generation,
            'idempotent': work.idempotent,
            'time_left': call.time_left,
        },
    )
    entry.begin_call()
    is_answering = False
    try:
        outcome = await _serve(entry, work)
        is_answering = isinstance(outcome, CallAnswer)
    finally:
        if not is_answering:
            entry.end_call()
    if isinstance(outcome, CallError):
        note_error(work, outcome)
    return outcome


async def _serve(entry: EntryState, work: AdmittedCall) -> CallOutcome:
    if not work.idempotent and work.call.idempotency_key is not None:
        return await serve_claimed(entry, work)
    return await serve_unclaimed(entry, work)


async def serve_unclaimed(entry: EntryState, work: AdmittedCall) -> CallOutcome:
    """Serve a call that needs no claim on an idempotency key."""
    plan = Plan(
        choose=lambda tried: choose_target(entry, work, tried),
        build_attempt_id=lambda _, number: AttemptId(
            f'{work.call.request}-{number}'
        ),
        check=_allow,
    )
    step = await run_attempts(entry, work, plan)
    if isinstance(step, Failed):
        return build_failure(work, step)
    return build_answer(entry, work, step)


async def _allow() -> NotRun | None:
    """Allow every attempt."""

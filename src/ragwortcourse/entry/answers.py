"""Builds answers and errors of admitted calls; counts and records each once."""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from opentelemetry import metrics

from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.answer_body import AnswerBody
from ragwortcourse.entry.attempt_result import Failed
from ragwortcourse.entry.attempts import AnsweredAttempt
from ragwortcourse.entry.crash_notice import check_broken_answer, drop_suspicion
from ragwortcourse.entry.dispatch import count_attempt_ended
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.messages.call import CallAnswer, CallError
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Completed, OutcomeKind

LOGGER: Final = logging.getLogger(__name__)
CALLS: Final = metrics.get_meter(__name__).create_counter(
    'entry.calls', description='Calls by what became of them.'
)

EndCallback = Callable[[bool], Awaitable[None]]


def build_answer(
    entry: EntryState,
    work: AdmittedCall,
    served: AnsweredAttempt,
    on_end: EndCallback | None = None,
    kept: bytearray | None = None,
) -> CallAnswer:
    """Build the answer to the caller, with a body that is still streaming.

    :param on_end: called once at the end of the body; its argument is true
        if the whole answer arrived.
    :param kept: buffer for the start of the body. With a buffer, the answer
        is read on after the caller has disconnected.
    """

    async def finish(is_whole: bool) -> None:
        count_attempt_ended(served.choice)
        kind = OutcomeKind.COMPLETED if is_whole else OutcomeKind.UNKNOWN
        CALLS.add(1, {'result': kind})
        work.decision_log.note(
            DecisionPoint.OUTCOME,
            kind,
            seen={'whole': is_whole, 'status': answer.status},
        )
        try:
            if on_end is not None:
                await on_end(is_whole)
            if is_whole:
                await drop_suspicion(entry, work)
        finally:
            entry.end_call()

    async def check_for_crash() -> None:
        await check_broken_answer(
            entry, work, served.choice, served.attempt, served.sent_at
        )

    answer = served.started.answer
    work.decision_log.note(
        DecisionPoint.VERSION,
        f'answer of {served.choice.record.target}',
        seen={'version': answer.version, 'status': answer.status},
    )
    return CallAnswer(
        request=work.call.request,
        status=answer.status,
        headers=answer.headers,
        version=answer.version,
        body=AnswerBody(
            first=served.started.first,
            rest=answer.body,
            finish=finish,
            on_break=check_for_crash,
            kept=kept,
        ),
    )


def build_failure(work: AdmittedCall, failed: Failed) -> CallError:
    """Build the error for a call that no attempt answered."""
    request = work.call.request
    if isinstance(failed.outcome, Completed):
        return errors.build_completed_error(
            request,
            errors.ANSWER_LOST,
            'The work ran to its end, but its answer was lost.',
        )
    return errors.build_error(request, failed.outcome, status=failed.status)


def note_error(work: AdmittedCall, outcome: CallError) -> None:
    """Count and record an error as the outcome of a call."""
    error = outcome.error
    CALLS.add(1, {'result': error.code})
    work.decision_log.note(
        DecisionPoint.OUTCOME,
        error.outcome,
        seen={'code': error.code, 'detail': error.message},
    )
    if error.outcome is OutcomeKind.UNKNOWN:
        decisions = work.decision_log.to_record().decisions
        LOGGER.warning(
            'outcome unknown',
            extra={
                'request': error.request,
                'code': error.code,
                'detail': error.message,
                'decisions': msgspec.to_builtins(decisions),
            },
        )

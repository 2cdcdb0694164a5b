"""Answers and errors for admitted calls, counted and recorded once."""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from opentelemetry import metrics

from ragwortcourse.entry import errors
from ragwortcourse.entry.answer_body import AnswerBody
from ragwortcourse.entry.attempts import Served
from ragwortcourse.entry.crash_notice import acquit, note_break
from ragwortcourse.entry.dispatch import release_choice
from ragwortcourse.entry.entry import Entry
from ragwortcourse.entry.steps import Failed
from ragwortcourse.entry.work import Work
from ragwortcourse.messages.call import CallAnswer, CallError
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Completed, OutcomeKind

LOGGER: Final = logging.getLogger(__name__)
CALLS: Final = metrics.get_meter(__name__).create_counter(
    'entry.calls', description='Calls by what became of them.'
)

EndCallback = Callable[[bool], Awaitable[None]]


def build_answer(
    entry: Entry,
    work: Work,
    served: Served,
    on_end: EndCallback | None = None,
    kept: bytearray | None = None,
) -> CallAnswer:
    """Answer to the caller, whose body is still coming.

    :param on_end: told once whether the whole answer came.
    :param kept: gets the body's bytes; the answer is then read to its end
        even where the caller has left.
    """

    async def finish(is_whole: bool) -> None:
        release_choice(served.choice)
        kind = OutcomeKind.COMPLETED if is_whole else OutcomeKind.UNKNOWN
        CALLS.add(1, {'result': kind})
        work.trail.note(
            DecisionPoint.OUTCOME,
            kind,
            seen={'whole': is_whole, 'status': answer.status},
        )
        try:
            if on_end is not None:
                await on_end(is_whole)
            if is_whole:
                await acquit(entry, work)
        finally:
            entry.leave()

    async def ask_why() -> None:
        await note_break(
            entry, work, served.choice, served.attempt, served.sent_at
        )

    answer = served.started.answer
    work.trail.note(
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
            on_break=ask_why,
            kept=kept,
        ),
    )


def build_failure(work: Work, failed: Failed) -> CallError:
    """Error for a call that no attempt answered."""
    request = work.call.request
    if isinstance(failed.outcome, Completed):
        return errors.build_completed_error(
            request,
            errors.ANSWER_LOST,
            'The work ran to its end, but its answer was lost.',
        )
    return errors.build_error(request, failed.outcome, status=failed.status)


def note_error(work: Work, outcome: CallError) -> None:
    """Record an error as what became of the call."""
    error = outcome.error
    CALLS.add(1, {'result': error.code})
    work.trail.note(
        DecisionPoint.OUTCOME,
        error.outcome,
        seen={'code': error.code, 'detail': error.message},
    )
    if error.outcome is OutcomeKind.UNKNOWN:
        decisions = work.trail.to_record().decisions
        LOGGER.warning(
            'outcome unknown',
            extra={
                'request': error.request,
                'code': error.code,
                'detail': error.message,
                'decisions': msgspec.to_builtins(decisions),
            },
        )

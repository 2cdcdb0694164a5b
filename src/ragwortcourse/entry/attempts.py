"""Runs attempts for one call in sequence, within the retry budget."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from opentelemetry import metrics

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.attempt_result import Failed, Started
from ragwortcourse.entry.choice import Choice, NoChoice
from ragwortcourse.entry.crash_notice import note_crash
from ragwortcourse.entry.dispatch import dispatch_attempt
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.failed_attempts import FailedAttempts
from ragwortcourse.identifiers import AttemptId, TargetName
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Completed, NotRun, Unknown

ATTEMPTS_LIMIT: Final = 3
BACKOFF_SECONDS: Final = 0.02
NO_TARGET_RETRY_SECONDS: Final = 1.0
FINAL_CODES: Final = frozenset((errors.BARRED, errors.CRASHING_REQUEST))
_RETRIES: Final = metrics.get_meter(__name__).create_counter(
    'entry.retries', description='Retries sent, and those the budget stopped.'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Target choice, attempt ids and precondition for the attempts of a call.

    :param choose: chooses the next target, given the targets already tried.
    :param build_attempt_id: builds an attempt id from the chosen target and
        the attempt's number.
    :param check: returns a refusal if the next attempt must not be sent.
    """

    choose: Callable[[set[TargetName]], Choice | NoChoice]
    build_attempt_id: Callable[[Choice, int], AttemptId]
    check: Callable[[], Awaitable[NotRun | None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnsweredAttempt:
    """An attempt whose answer has started.

    :param sent_at: monotonic seconds at which the attempt was sent.
    """

    started: Started
    choice: Choice
    attempt: AttemptId
    sent_at: float


async def run_attempts(
    entry: EntryState, work: AdmittedCall, plan: Plan
) -> AnsweredAttempt | Failed:
    """Try targets until one answers or no further attempt is allowed."""
    failed = FailedAttempts()
    while failed.tries < ATTEMPTS_LIMIT:
        choice = await _prepare(entry, work, plan, failed)
        if isinstance(choice, NotRun):
            return judge_failures(failed.failures or [Failed(outcome=choice)])
        attempt = plan.build_attempt_id(choice, len(failed.failures))
        sent_at = read_clock()
        step = await dispatch_attempt(entry, work, choice, attempt)
        if isinstance(step, Started):
            return AnsweredAttempt(
                started=step, choice=choice, attempt=attempt, sent_at=sent_at
            )
        failed.note(choice.record.target, step)
        await _note_failure(entry, work, choice, step)
        if not may_retry(entry, work, step):
            break
    return judge_failures(failed.failures)


def judge_failures(failures: Sequence[Failed]) -> Failed:
    """Return the failure that holds for all attempts together.

    An unknown outcome takes precedence, because that attempt may have run
    the work; otherwise the last failure is returned.
    """
    for failed in failures:
        if isinstance(failed.outcome, Unknown):
            return failed
    return failures[-1]


def may_retry(entry: EntryState, work: AdmittedCall, step: Failed) -> bool:
    """Tell whether the work may be attempted again."""
    if entry.crashers.is_refused(work.fingerprint):
        return False
    if isinstance(step.outcome, Completed):
        return False
    if work.expires_at <= read_clock():
        return False
    if step.outcome.code in FINAL_CODES:
        return False
    if work.idempotent:
        return True
    if isinstance(step.outcome, Unknown):
        return False
    return work.call.idempotency_key is not None or not step.is_lost


async def _prepare(
    entry: EntryState,
    work: AdmittedCall,
    plan: Plan,
    failed: FailedAttempts,
) -> Choice | NotRun:
    if failed.tries > 1 and not failed.was_told:
        longest = BACKOFF_SECONDS * 2**failed.tries
        await asyncio.sleep(entry.rng.uniform(0, longest))
    if work.expires_at <= read_clock():
        return NotRun(
            code=errors.DEADLINE_PASSED,
            detail='The deadline passed before a target was found.',
        )
    refusal = await plan.check()
    if refusal is not None:
        return refusal
    choice = plan.choose(failed.tried)
    if isinstance(choice, NoChoice):
        return _refuse_without_target(work, choice)
    if not _pay(entry, choice, failed):
        return _refuse_retry(work, choice)
    _note_choice(work, choice, len(failed.failures))
    return choice


def _pay(entry: EntryState, choice: Choice, failed: FailedAttempts) -> bool:
    """Pay for an attempt from the retry budget; return whether it may go."""
    if not failed.failures:
        entry.budget.earn(choice.record.target)
        return True
    if failed.was_told:
        _RETRIES.add(1, {'result': 'told of a change'})
        return True
    if not entry.budget.spend(choice.record.target):
        return False
    _RETRIES.add(1, {'result': 'sent'})
    return True


def refuse_no_target() -> NotRun:
    """Build the refusal of work that no target can take."""
    return NotRun(
        code=errors.NO_TARGET,
        detail='No target can take the request now.',
        retry_after=NO_TARGET_RETRY_SECONDS,
    )


def _refuse_without_target(work: AdmittedCall, choice: NoChoice) -> NotRun:
    work.decision_log.note(
        DecisionPoint.ROUTE, 'no target', turned_down=choice.turned_down
    )
    return refuse_no_target()


def _refuse_retry(work: AdmittedCall, choice: Choice) -> NotRun:
    _RETRIES.add(1, {'result': 'stopped'})
    work.decision_log.note(
        DecisionPoint.RETRY,
        'not retried',
        turned_down={choice.record.target: 'retry budget spent'},
    )
    return NotRun(
        code=errors.RETRIES_SPENT,
        detail='Too large a share of the traffic is retries.',
        retry_after=NO_TARGET_RETRY_SECONDS,
    )


def _note_choice(work: AdmittedCall, choice: Choice, number: int) -> None:
    work.decision_log.note(
        DecisionPoint.RETRY if number else DecisionPoint.ROUTE,
        choice.record.target,
        seen={
            'reason': choice.reason,
            'version': choice.version,
            'spare': choice.record.spare,
            'deployment': choice.deployment.name,
        },
        turned_down=choice.turned_down,
    )


async def _note_failure(
    entry: EntryState, work: AdmittedCall, choice: Choice, step: Failed
) -> None:
    if step.suspect:
        await note_crash(entry, work, choice)
    outcome = step.outcome
    seen: dict[str, object] = {'outcome': outcome.kind}
    if not isinstance(outcome, Completed):
        seen = {**seen, 'code': outcome.code, 'detail': outcome.detail}
    work.decision_log.note(
        DecisionPoint.GATE, f'no answer from {choice.record.target}', seen=seen
    )

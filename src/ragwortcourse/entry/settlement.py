"""Determines the outcome of attempts that got no answer."""

from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.attempt_bars import bar_attempt
from ragwortcourse.entry.attempt_result import Failed
from ragwortcourse.entry.choice import Choice
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import TargetName
from ragwortcourse.messages.attempt import (
    Attempt,
    AttemptLost,
    AttemptRefused,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import Completed, NotRun, Unknown
from ragwortcourse.messages.peer_port import PeerUnavailable

UNREACHED_RETRY_SECONDS: Final = 1.0


async def settle_attempt(
    entry: EntryState,
    work: AdmittedCall,
    choice: Choice,
    message: Attempt,
    outcome: AttemptRefused | AttemptUnreached | AttemptLost,
    sent_at: float,
) -> Failed:
    """Determine the failure of an attempt that got no answer.

    If the attempt was lost and the work may run at most once, the agent is
    asked for a report, which bars an attempt that has not started.

    :param sent_at: monotonic seconds at which the attempt was sent.
    """
    if isinstance(outcome, AttemptRefused):
        choice.record.spare = outcome.spare
        return Failed(
            outcome=outcome.outcome,
            status=outcome.status,
            is_refusal=isinstance(outcome.outcome, NotRun),
            suspect=outcome.suspect,
            was_outdated=_update_served(choice, outcome),
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
    work.decision_log.note(
        DecisionPoint.OUTCOME,
        'asked the agent',
        seen={'lost': outcome.detail, 'report': report},
    )
    return Failed(
        outcome=judge_report(choice.record.target, report),
        is_lost=True,
        suspect=isinstance(report, AttemptReport) and report.suspect,
    )


def _update_served(choice: Choice, refused: AttemptRefused) -> bool:
    """Record what a target serves; return whether it told of a change.

    Another call or a heartbeat may have told this daemon since the choice.
    """
    status = choice.record.status
    if refused.served is None or status is None:
        return False
    choice.record.status = msgspec.structs.replace(
        status, served=refused.served
    )
    return True


def judge_report(
    target: TargetName, report: AttemptReport | PeerUnavailable
) -> NotRun | Unknown | Completed:
    """Derive the outcome of the work from an agent's report."""
    if isinstance(report, PeerUnavailable):
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
    """Build the unknown outcome of an attempt at one target."""
    return Unknown(
        code=errors.OUTCOME_UNKNOWN,
        detail=f'{target} can not say if it ran: {detail}.',
    )

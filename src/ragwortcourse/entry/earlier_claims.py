"""Handling of resends whose idempotency key was claimed before."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Sequence
from typing import Final

from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.answer_body import AnswerBody
from ragwortcourse.entry.attempt_bars import bar_attempt
from ragwortcourse.entry.claim import (
    Claim,
    ClaimState,
    build_attempt_id,
)
from ragwortcourse.entry.claims import (
    ClaimFound,
    digest_request,
    read_claim,
)
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.messages import headers
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.call import CallAnswer, CallOutcome
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import NotRun, Unknown
from ragwortcourse.messages.peer_port import PeerUnavailable

CLOCK_SKEW_SECONDS: Final = 5.0
CLAIM_GRACE_SECONDS: Final = 1.0
POLL_SECONDS: Final = 0.25

Report = AttemptReport | PeerUnavailable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Takeover:
    """Permission to claim the key again: the earlier work did not run.

    :param version: version of the row to overwrite.
    :param takeovers: number of claims on the key before the next one.
    """

    version: int
    takeovers: int


async def judge_claim(
    entry: EntryState, work: AdmittedCall, found: ClaimFound
) -> CallOutcome | Takeover:
    """Build the answer to a resend, or permit a new claim on the key."""
    request = work.call.request
    if found.claim.body_sha256 != digest_request(work):
        reused = NotRun(
            code=errors.KEY_REUSED,
            detail='The key was used before for another request.',
        )
        return errors.build_error(request, reused)
    found = await _await_result(entry, work, found)
    claim = found.claim
    if claim.state is ClaimState.COMPLETED:
        return replay_answer(entry, work, claim)
    if claim.state is ClaimState.NOT_RUN:
        return _take_over(found)
    return await _ask_targets(entry, work, found)


async def _await_result(
    entry: EntryState, work: AdmittedCall, found: ClaimFound
) -> ClaimFound:
    """Wait for the result of a claim younger than the grace period.

    Asking an agent about an attempt bars the attempt if it has not started,
    so a fresh claim first gets time to start.
    """
    polls = round(CLAIM_GRACE_SECONDS / POLL_SECONDS)
    for _ in range(polls):
        age = entry.read_wall_clock() - found.claim.claimed_at
        if (
            found.claim.state is not ClaimState.CLAIMED
            or age > CLAIM_GRACE_SECONDS
        ):
            break
        await asyncio.sleep(POLL_SECONDS)
        newer = await read_claim(entry, work)
        if isinstance(newer, ClaimFound):
            found = newer
    return found


async def _ask_targets(
    entry: EntryState, work: AdmittedCall, found: ClaimFound
) -> CallOutcome | Takeover:
    claim = found.claim
    age = (
        max(entry.read_wall_clock() - claim.claimed_at, 0) + CLOCK_SKEW_SECONDS
    )
    reports = await asyncio.gather(
        *(
            bar_attempt(
                entry, one.address, build_attempt_id(claim, number), age
            )
            for number, one in enumerate(claim.targets)
        )
    )
    work.decision_log.note(
        DecisionPoint.CLAIM,
        'asked the targets of the earlier claim',
        seen={
            one.target: report
            for one, report in zip(claim.targets, reports, strict=True)
        },
    )
    return _judge_reports(entry, work, found, reports)


def _judge_reports(
    entry: EntryState,
    work: AdmittedCall,
    found: ClaimFound,
    reports: Sequence[Report],
) -> CallOutcome | Takeover:
    request = work.call.request
    known = [one for one in reports if isinstance(one, AttemptReport)]
    states = {one.state for one in known}
    if AttemptState.COMPLETED in states:
        return replay_answer(entry, work, found.claim)
    if AttemptState.RUNNING in states:
        return errors.build_in_progress(request)
    is_proved = all(one.proves_not_run for one in known)
    if is_proved and len(known) == len(reports):
        return _take_over(found)
    unknown = Unknown(
        code=errors.OUTCOME_UNKNOWN,
        detail='Nobody reachable can say if the first sending ran.',
    )
    return errors.build_error(request, unknown)


def _take_over(found: ClaimFound) -> Takeover:
    return Takeover(version=found.version, takeovers=found.claim.takeovers + 1)


def replay_answer(
    entry: EntryState, work: AdmittedCall, claim: Claim
) -> CallOutcome:
    """Build the answer of the first request, or an error if not stored."""
    request = work.call.request

    async def finish(is_whole: bool) -> None:
        del is_whole
        entry.end_call()

    if claim.answer is None:
        return errors.build_completed_error(
            request,
            errors.ANSWER_LOST,
            'The first sending ran to its end; its answer was not kept.',
        )
    return CallAnswer(
        request=request,
        status=claim.answer.status,
        headers={**claim.answer.headers, headers.REPLAYED: 'true'},
        body=AnswerBody(
            first=claim.answer.body, rest=_iterate_nothing(), finish=finish
        ),
        version=claim.answer.version,
    )


async def _iterate_nothing() -> AsyncIterator[bytes]:
    nothing: tuple[bytes, ...] = ()
    for chunk in nothing:
        yield chunk

"""Serving of calls whose work may run at most once."""

from collections.abc import Sequence
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.answer_body import KEPT_BYTES
from ragwortcourse.entry.answers import build_answer, build_failure
from ragwortcourse.entry.attempt_result import Failed
from ragwortcourse.entry.attempts import (
    AnsweredAttempt,
    Plan,
    refuse_no_target,
    run_attempts,
)
from ragwortcourse.entry.choice import Choice, NoChoice
from ragwortcourse.entry.claim import (
    Claim,
    ClaimedTarget,
    ClaimState,
    KeptAnswer,
    build_attempt_id,
)
from ragwortcourse.entry.claims import (
    ClaimFound,
    ClaimHeld,
    build_claim_key,
    digest_request,
    read_claim,
    take_claim,
)
from ragwortcourse.entry.earlier_claims import (
    Takeover,
    judge_claim,
    replay_answer,
)
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.routing import choose_again, choose_target
from ragwortcourse.identifiers import AttemptId, TargetName
from ragwortcourse.messages.call import CallOutcome
from ragwortcourse.messages.decision import DecisionPoint
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.storage.table import ABSENT_VERSION, ConditionalWrite

CLAIMED_TARGETS: Final = 3
TAKEOVERS_LIMIT: Final = 2
TOKEN_BITS: Final = 64
CLAIM_RECHECK_SECONDS: Final = 5.0


async def serve_claimed(entry: EntryState, work: AdmittedCall) -> CallOutcome:
    """Run the work if its key is free, else report its earlier outcome."""
    expected_version = ABSENT_VERSION
    takeovers = 0
    for _ in range(TAKEOVERS_LIMIT):
        choices = list_choices(entry, work)
        made_at = read_clock()
        claim = _make_claim(entry, work, choices, takeovers)
        step = await _claim(entry, work, claim, expected_version)
        if isinstance(step, NotRun):
            return errors.build_error(work.call.request, step)
        if isinstance(step, ClaimHeld):
            return await _run_held(entry, work, step, choices, made_at)
        judged = await judge_claim(entry, work, step)
        if not isinstance(judged, Takeover):
            return judged
        if not choices:
            return errors.build_error(work.call.request, refuse_no_target())
        expected_version = judged.version
        takeovers = judged.takeovers
    return errors.build_in_progress(work.call.request)


def list_choices(entry: EntryState, work: AdmittedCall) -> tuple[Choice, ...]:
    """Return the targets to which the work may be sent, in order."""
    choices: list[Choice] = []
    tried: set[TargetName] = set()
    for _ in range(CLAIMED_TARGETS):
        choice = choose_target(entry, work, tried)
        if isinstance(choice, NoChoice):
            break
        choices.append(choice)
        tried.add(choice.record.target)
    return tuple(choices)


def _make_claim(
    entry: EntryState,
    work: AdmittedCall,
    choices: Sequence[Choice],
    takeovers: int,
) -> Claim:
    return Claim(
        token=f'{work.call.request}-{entry.rng.getrandbits(TOKEN_BITS):016x}',
        request=work.call.request,
        body_sha256=digest_request(work),
        targets=tuple(
            ClaimedTarget(
                target=choice.record.target, address=choice.record.address
            )
            for choice in choices
        ),
        claimed_at=entry.read_wall_clock(),
        takeovers=takeovers,
    )


async def _claim(
    entry: EntryState, work: AdmittedCall, claim: Claim, expected_version: int
) -> ClaimHeld | ClaimFound | NotRun:
    if claim.targets:
        step = await take_claim(entry, work, claim, expected_version)
    else:
        found = await read_claim(entry, work)
        step = found or refuse_no_target()
    work.decision_log.note(
        DecisionPoint.CLAIM,
        type(step).__name__,
        seen={
            'key': build_claim_key(work),
            'targets': [one.target for one in claim.targets],
        },
    )
    return step


async def _run_held(
    entry: EntryState,
    work: AdmittedCall,
    held: ClaimHeld,
    choices: tuple[Choice, ...],
    made_at: float,
) -> CallOutcome:
    async def check() -> NotRun | None:
        if read_clock() - made_at <= CLAIM_RECHECK_SECONDS:
            return None
        # If this daemon was paused, another daemon may have taken the claim
        # over in the meantime.
        if await _still_holds(entry, work, held):
            return None
        return NotRun(code=errors.BARRED, detail='The claim is no longer held.')

    def choose(tried: set[TargetName]) -> Choice | NoChoice:
        return choose_again(work, choices, tried)

    def identify(choice: Choice, _: int) -> AttemptId:
        # A takeover asks each target of the claim about the attempt with its
        # index. A target that is asked again has refused that attempt.
        targets = [one.target for one in held.claim.targets]
        return build_attempt_id(held.claim, targets.index(choice.record.target))

    plan = Plan(
        choose=choose,
        build_attempt_id=identify,
        check=check,
    )
    step = await run_attempts(entry, work, plan)
    if isinstance(step, AnsweredAttempt):
        return _answer(entry, work, held, step)
    return await _fail(entry, work, held, step)


async def _still_holds(
    entry: EntryState, work: AdmittedCall, held: ClaimHeld
) -> bool:
    found = await read_claim(entry, work)
    if not isinstance(found, ClaimFound):
        return False
    return found.claim.token == held.claim.token


async def _fail(
    entry: EntryState, work: AdmittedCall, held: ClaimHeld, failed: Failed
) -> CallOutcome:
    outcome = failed.outcome
    if not isinstance(outcome, NotRun):
        return build_failure(work, failed)
    is_barred = outcome.code == errors.BARRED
    if is_barred and not await _still_holds(entry, work, held):
        # Another daemon took the claim over and may have run the work.
        return await follow_claim(entry, work)
    _put_result(entry, work, held, ClaimState.NOT_RUN, None)
    return build_failure(work, failed)


async def follow_claim(entry: EntryState, work: AdmittedCall) -> CallOutcome:
    """Report the outcome of work whose claim another daemon took over."""
    found = await read_claim(entry, work)
    if not isinstance(found, ClaimFound):
        return errors.build_in_progress(work.call.request)
    if found.claim.state is not ClaimState.COMPLETED:
        return errors.build_in_progress(work.call.request)
    return replay_answer(entry, work, found.claim)


def _answer(
    entry: EntryState,
    work: AdmittedCall,
    held: ClaimHeld,
    served: AnsweredAttempt,
) -> CallOutcome:
    kept = bytearray()
    answer = served.started.answer

    async def record(is_whole: bool) -> None:
        if not is_whole:
            return
        keeps = len(kept) <= KEPT_BYTES
        body = KeptAnswer(
            status=answer.status,
            headers=dict(answer.headers),
            body=bytes(kept),
            version=answer.version,
        )
        _put_result(
            entry, work, held, ClaimState.COMPLETED, body if keeps else None
        )

    return build_answer(entry, work, served, on_end=record, kept=kept)


def _put_result(
    entry: EntryState,
    work: AdmittedCall,
    held: ClaimHeld,
    state: ClaimState,
    answer: KeptAnswer | None,
) -> None:
    claim = msgspec.structs.replace(held.claim, state=state, answer=answer)
    entry.results.put(
        ConditionalWrite(
            key=build_claim_key(work),
            content=msgspec.json.encode(claim),
            expected_version=held.version,
        )
    )

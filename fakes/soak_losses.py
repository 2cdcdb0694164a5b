"""Judgment of whole requests whose connections ended without an answer.

It follows LOST in the rules of the platform, and is stricter about silence: an
answer must never be ended because a sound target is silent.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from fakes.fleet_parts import FLEET
from fakes.soak_plan import PLANNED
from fakes.soak_records import (
    Ending,
    PlannedKind,
    PlannedWork,
    Records,
    SentRequest,
    TargetRun,
)

CONTACT_SECONDS: Final = FLEET.contact_ms / 1000
APPLY_SECONDS: Final = FLEET.apply_ms / 1000
GRACE_SECONDS: Final = FLEET.grace_seconds
VERSION_SECONDS: Final = FLEET.version_ms / 1000
# A request that has not begun on an older version may be ended this long
# before the bound, as its end takes time to reach the target.
EXPIRING_SECONDS: Final = 0.5
# A request that no target got may be cut this long after its last byte.
SLACK_SECONDS: Final = 0.2
# Time from the end of a planned period to the end of a late loss.
AFTER_SECONDS: Final = 1.0
# A request that is sent later after SIGTERM should have gone elsewhere.
STOPPED_SECONDS: Final = 3.0
LAST_SHARE: Final = 1 / 6
USED_SHARE: Final = 0.7
CHANGE_RATIO: Final = 3
# Losses of one daemon that are allowed beside nothing.
ALLOWED: Final = 3


def list_losses(records: Records) -> list[str]:
    """List the requests that were lost, with the planned work beside them."""
    runs = defaultdict[str, list[TargetRun]](list)
    for run in records.runs:
        runs[run.attempt].append(run)
    daemons = {each.daemon for each in records.requests}
    calm = [
        each
        for each in records.requests
        if not _is_disturbed(records, each, daemons - {each.daemon})
    ]
    lost = [each for each in calm if _is_lost(records, each, runs)]
    return [
        *_check_silences(records, calm, runs),
        *_check_signals(records, lost),
        *_check_changes(records, calm, lost),
        *_check_rest(records, lost),
    ]


def _check_silences(
    records: Records,
    calm: list[SentRequest],
    runs: dict[str, list[TargetRun]],
) -> Iterator[str]:
    for each in calm:
        ended_early = each.ending is Ending.CUT or (
            each.ending is Ending.COMPLETE and not each.stamp
        )
        if not ended_early or _has_excuse(records, each, runs[each.attempt]):
            continue
        silent = [
            run.target
            for run in runs[each.attempt]
            if _is_left_silent(run) and not _has_expired(records, each, run)
        ]
        if silent:
            yield f'LOST: {silent} merely silent, {each}'


def _check_signals(records: Records, lost: list[SentRequest]) -> Iterator[str]:
    for each in lost:
        work = _find_signal(records, each)
        if work is not None:
            yield f'LOST: beside {work}, {each}'


def _check_changes(
    records: Records, calm: list[SentRequest], lost: list[SentRequest]
) -> Iterator[str]:
    """Find daemons that cut requests more often beside changes than else."""
    ended = Counter(
        (each.daemon, _is_beside_change(records, each)) for each in calm
    )
    cut = Counter(
        (each.daemon, _is_beside_change(records, each)) for each in lost
    )
    for each in lost:
        beside, apart = (each.daemon, True), (each.daemon, False)
        used = each.ended_at - each.sent_at
        # The shares are compared without a division, as either may be empty.
        is_frequent = (
            cut[beside] * max(ended[apart], 1)
            > CHANGE_RATIO * cut[apart] * ended[beside]
        )
        if (
            is_frequent
            and _is_beside_change(records, each)
            and used < USED_SHARE * each.limit
        ):
            yield f'LOST: beside a change, {each}'


def _check_rest(records: Records, lost: list[SentRequest]) -> Iterator[str]:
    apart = [
        each
        for each in lost
        if _find_signal(records, each) is None
        and not _is_beside_change(records, each)
    ]
    for daemon, count in Counter(each.daemon for each in apart).items():
        if count > ALLOWED:
            yield f'LOST: {count} by {daemon} beside nothing, {apart}'


def _is_lost(
    records: Records, each: SentRequest, runs: dict[str, list[TargetRun]]
) -> bool:
    if each.ending is not Ending.CUT or not each.whole_at:
        return False
    own = runs[each.attempt]
    was_passed_on = any(run.at < each.ended_at for run in own)
    if not was_passed_on and each.ended_at <= each.whole_at + SLACK_SECONDS:
        return False
    return not _has_excuse(records, each, own)


def _has_excuse(
    records: Records, each: SentRequest, runs: list[TargetRun]
) -> bool:
    if each.ended_at >= each.sent_at + each.limit:
        return True
    last = max(runs, key=_read_end, default=None)
    if last is not None and last.ending is Ending.CUT:
        return True
    return any(
        each.sent_at <= work.at + STOPPED_SECONDS
        and _read_end(run) >= work.at + GRACE_SECONDS * (1 - LAST_SHARE)
        for work in records.planned
        if work.kind is PlannedKind.STOP and work.whom == each.daemon
        for run in runs
    )


def _is_left_silent(run: TargetRun) -> bool:
    """Tell whether the daemon closed a run in the middle of a silence."""
    return run.ending is Ending.LEFT and any(
        begin <= run.ended_at <= end for begin, end in run.silences
    )


def _has_expired(records: Records, each: SentRequest, run: TargetRun) -> bool:
    """Tell whether an answer without a part may not begin on its version."""
    return not each.body and any(
        0 < run.version < version
        and run.ended_at > named_at + VERSION_SECONDS - EXPIRING_SECONDS
        for version, named_at in records.named.items()
    )


def _read_end(run: TargetRun) -> float:
    return float('inf') if run.ending is Ending.OPEN else run.ended_at


def _find_signal(records: Records, each: SentRequest) -> PlannedWork | None:
    """Find the signal to its daemon that a loss stands beside."""
    for work in records.planned:
        if work.whom != each.daemon or each.ended_at < work.at:
            continue
        late = each.ended_at > work.at + GRACE_SECONDS + AFTER_SECONDS
        if work.kind is PlannedKind.STOP and not late:
            return work
        if (
            work.kind is PlannedKind.HANG_UP
            and each.sent_at <= work.at + APPLY_SECONDS
        ):
            return work
    return None


def _is_beside_change(records: Records, each: SentRequest) -> bool:
    return any(
        work.kind is PlannedKind.CHANGE
        and work.at <= each.ended_at
        and each.ended_at <= work.at + APPLY_SECONDS + AFTER_SECONDS
        for work in records.planned
    )


def _is_disturbed(
    records: Records, each: SentRequest, others: set[str]
) -> bool:
    """Tell whether unplanned trouble excuses the loss of a request.

    :param others: the other forwarders, whose trouble excuses nothing.
    """
    return any(
        fault.name not in PLANNED
        and fault.whom not in others
        and fault.began_at < each.ended_at
        and fault.ended_at > each.sent_at - CONTACT_SECONDS
        for fault in records.faults
    )

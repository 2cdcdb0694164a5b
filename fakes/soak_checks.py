"""Checks of the guarantees that every soak must keep.

They use only what callers and targets recorded.
"""

import collections
from collections.abc import Iterator

from fakes.fleet_parts import FLEET
from fakes.soak_losses import (
    CONTACT_SECONDS,
    VERSION_SECONDS,
    list_losses,
)
from fakes.soak_plan import HARMLESS
from fakes.soak_records import (
    STREAMS,
    Ending,
    Kind,
    Records,
    SentRequest,
    TargetRun,
)
from fakes.soak_target import EVENTS, make_answer

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# No caller sends a malformed or too large request.
DENIED_STATUSES = frozenset((400, 411, 413, 417, 431))
HTTP_OK = 200
# Documented bounds; they hold for daemons that no fault cuts off.
REVOKE_SECONDS = FLEET.revoke_ms / 1000
EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 2.0
RECOVER_SECONDS = 12.0
ROUTE_SECONDS = 3.0
# Allowance past the time limit of a route.
ALLOWANCE_SECONDS = 0.5
RECOVERED_SHARE = 0.75
CRASHES_TO_REFUSE = 3
# Runs later than the contact time after the last of these.
ALLOWED_CRASH_RUNS = 3


def list_findings(records: Records) -> list[str]:
    """List each violated guarantee with the request that shows it."""
    return [
        *_check_runs(records),
        *_check_answers(records),
        *_check_operators(records),
        *_check_held(records),
        *_check_crashes(records),
        *list_losses(records),
        *_check_recovery(records),
        *(
            f'WHOLE: spoilt weights loaded, {each}'
            for each in records.spoilt_loads
        ),
    ]


def _check_runs(records: Records) -> Iterator[str]:
    requests = {each.attempt: each for each in records.requests}
    runs = collections.Counter(each.attempt for each in records.runs)
    for run in records.runs:
        sent = requests.get(run.attempt)
        if sent is None or run.path != sent.path:
            yield f'UNASKED: {run}'
        elif run.key_seen or run.account != sent.key.partition('-')[0]:
            yield f'UNASKED: account or key, {run}'
        elif not run.body_intact:
            yield f'UNASKED: body changed, {run}'
    for each in records.requests:
        if each.kind is not Kind.CHARGE:
            continue
        if runs[each.attempt] > 1:
            yield f'TWICE: {runs[each.attempt]} runs, {each}'
        if each.status in NOT_RUN_STATUSES and runs[each.attempt]:
            yield f'REFUSED: has run, {each}'


def _check_answers(records: Records) -> Iterator[str]:
    whole = ' '.join(str(number) for number in range(EVENTS))
    for each in records.requests:
        if each.status in DENIED_STATUSES:
            yield f'DENIED: {each}'
        is_stream = each.kind in STREAMS
        is_partial = each.ending in {Ending.CUT, Ending.LEFT}
        if is_stream and is_partial and not whole.startswith(each.body):
            yield f'ORDER: {each}'
        if each.status != HTTP_OK:
            continue
        wanted = whole if is_stream else make_answer(each.attempt, each.path)
        if each.body != wanted:
            yield f'ORDER or MIXED: {each}'
        if each.stamp != f'{each.attempt}-stamp':
            yield f'MIXED: stamp, {each}'


def _check_operators(records: Records) -> Iterator[str]:
    requests = {each.attempt: each for each in records.requests}
    for run in records.runs:
        sent = requests.get(run.attempt)
        if sent is None:
            continue
        revoked = records.revoked.get(sent.key)
        if revoked is not None and sent.sent_at > revoked + REVOKE_SECONDS:
            yield f'CONFIG: key was taken away at {revoked}, {run}'
        if _is_undisturbed(records, sent, run.at, CONTACT_SECONDS):
            yield from _check_withdrawn(records, run)
            yield from _check_departures(records, run)
        # The bound on versions holds only if no fault hit the daemon for the
        # whole length of the bound.
        if _is_undisturbed(records, sent, run.at, VERSION_SECONDS):
            yield from _check_version(records, run)


def _check_withdrawn(records: Records, run: TargetRun) -> Iterator[str]:
    for domain, began_at, ended_at in records.withdrawn:
        late = began_at + EVACUATE_SECONDS < run.at < ended_at
        if run.domain == domain and late:
            yield f'EVAC: withdrawn at {began_at}, {run}'


def _check_departures(records: Records, run: TargetRun) -> Iterator[str]:
    for target, began_at, ended_at in records.departures:
        late = began_at + DRAIN_SECONDS < run.at < ended_at
        if run.target == target and late:
            yield f'DRAIN: leaving since {began_at}, {run}'


def _check_version(records: Records, run: TargetRun) -> Iterator[str]:
    for version, named_at in records.named.items():
        is_older = 0 < run.version < version
        if is_older and run.at > named_at + VERSION_SECONDS:
            yield f'VERSION: {version} was named at {named_at}, {run}'


def _check_held(records: Records) -> Iterator[str]:
    for each in records.requests:
        held = each.ended_at - each.sent_at
        limit = ROUTE_SECONDS + ALLOWANCE_SECONDS
        if held > limit and _is_undisturbed(
            records, each, each.ended_at, held + CONTACT_SECONDS
        ):
            yield f'held for {held:.2f} s: {each}'


def _check_crashes(records: Records) -> Iterator[str]:
    if len(records.crashes) < CRASHES_TO_REFUSE:
        return
    known_at = sorted(records.crashes)[CRASHES_TO_REFUSE - 1]
    late = [
        (attempt, at)
        for attempt, at in records.crash_runs
        if at > known_at + CONTACT_SECONDS
        and _is_undisturbed(
            records, records.crash_requests[attempt], at, CONTACT_SECONDS
        )
    ]
    if len(late) > ALLOWED_CRASH_RUNS:
        yield f'BUDGET: third crash at {known_at}, later runs {late}'


def _check_recovery(records: Records) -> Iterator[str]:
    begin = records.calm_from + RECOVER_SECONDS
    late = [
        each
        for each in records.requests
        if each.sent_at > begin and each.key not in records.revoked
    ]
    served = sum(each.status == HTTP_OK for each in late)
    if not late or served < RECOVERED_SHARE * len(late):
        yield f'RECOVER: {served} of {len(late)} served'


def _is_undisturbed(
    records: Records, each: SentRequest, until: float, seconds: float
) -> bool:
    """Tell whether no fault affected the daemon of a request recently.

    :param until: end of the period to check, in monotonic seconds.
    :param seconds: length of the period.
    """
    return not any(
        fault.whom in {'', each.daemon}
        and fault.name not in HARMLESS
        and fault.began_at < until
        and fault.ended_at > until - seconds
        for fault in records.faults
    )

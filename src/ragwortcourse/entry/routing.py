"""Choice of a target: near first, then by spare permits and prefix."""

import hashlib
import math
from collections.abc import Iterator
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.deployment import (
    Deployment,
    ModelDeployment,
)
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.choice import Choice, NoChoice
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.entry.versions import choose_version, serves_version
from ragwortcourse.identifiers import TargetName, VersionName
from ragwortcourse.membership.target_record import TargetRecord

LOAD_BOUND: Final = 1.25
LATENCY_STEP_SECONDS: Final = 0.001
RANK_FAR: Final = 50
RANK_FULL: Final = 100
RANK_UNKNOWN: Final = 200
EJECTED_REASON: Final = 'taken out by its outcomes'
_SCORE_BYTES: Final = 8
_TURNED_DOWN_LIMIT: Final = 16


def choose_target(
    entry: EntryState, work: AdmittedCall, tried: set[TargetName]
) -> Choice | NoChoice:
    """Best target that has not been tried, or why there is none."""
    turned_down: dict[str, str] = {}
    candidates: list[Choice] = []
    taken_out: list[Choice] = []
    for choice in list_candidates(entry, work, tried):
        reason = find_objection(entry, work, choice, tried)
        if reason is None:
            candidates.append(choice)
        elif len(turned_down) < _TURNED_DOWN_LIMIT:
            turned_down[choice.record.target] = reason
        if reason == EJECTED_REASON:
            taken_out.append(choice)
    # Where every target was taken out, trying one is better than none.
    candidates = candidates or taken_out
    if not candidates:
        return NoChoice(turned_down=turned_down)
    return _pick(entry, work, candidates, turned_down)


def find_objection(
    entry: EntryState,
    work: AdmittedCall,
    choice: Choice,
    tried: set[TargetName],
) -> str | None:
    """Reason for which a target can't take the work, if there is one."""
    reason = _object_to_target(entry, choice.record, choice.deployment, tried)
    return reason or _object_to_version(work, choice)


def _object_to_target(
    entry: EntryState,
    record: TargetRecord,
    deployment: Deployment,
    tried: set[TargetName],
) -> str | None:
    if record.target in tried:
        return 'tried before'
    if record.failure_domain not in deployment.failure_domains:
        return 'failure domain not in the deployment'
    if entry.holder.is_withdrawn(record.target, record.failure_domain):
        return 'withdrawn'
    if record.leaving or (record.status and record.status.leaving):
        return 'leaving'
    if record.ejected_until > read_clock():
        return EJECTED_REASON
    if entry.outliers.is_full(record):
        return 'on trial, and has what it may take'
    return None


def _object_to_version(work: AdmittedCall, choice: Choice) -> str | None:
    deployment = choice.deployment
    if choice.version is None or not isinstance(deployment, ModelDeployment):
        return None
    if choice.record.status is None:
        return None
    if serves_version(choice.record, deployment, choice.version, work.adapter):
        return None
    return f'does not serve version {choice.version}'


def list_candidates(
    entry: EntryState, work: AdmittedCall, tried: set[TargetName]
) -> Iterator[Choice]:
    """Every watched target of the work's deployments, with the version.

    A version that only targets serve which can't take the work is not
    asked for.
    """
    for deployment in work.deployments:
        records = entry.directory.select(deployment.name)
        version: VersionName | None = None
        if isinstance(deployment, ModelDeployment):
            able = [
                record
                for record in records
                if _object_to_target(entry, record, deployment, tried) is None
            ]
            version = choose_version(deployment, able or records, work.adapter)
        for record in records:
            yield Choice(
                record=record,
                deployment=deployment,
                version=version,
                reason='',
                turned_down={},
            )


def rank_target(entry: EntryState, record: TargetRecord) -> int:
    """Order in which targets are considered; lower goes first.

    Those heard of lately, with room, by nearness; then those without
    room; then those of which nothing is known.
    """
    if record.status is None:
        return RANK_UNKNOWN + _rank_distance(entry, record)
    if record.spare <= 0:
        return RANK_FULL + _rank_distance(entry, record)
    return _rank_distance(entry, record)


def _rank_distance(entry: EntryState, record: TargetRecord) -> int:
    settings = entry.settings
    if record.failure_domain == settings.failure_domain:
        return 0
    if record.region == settings.region:
        return 1 + min(int(record.latency / LATENCY_STEP_SECONDS), RANK_FAR - 2)
    return RANK_FAR


def _pick(
    entry: EntryState,
    work: AdmittedCall,
    candidates: list[Choice],
    turned_down: dict[str, str],
) -> Choice:
    rings = [rank_target(entry, one.record) for one in candidates]
    nearest = min(rings)
    ring = [
        one
        for one, rank in zip(candidates, rings, strict=True)
        if rank == nearest
    ]
    chosen, reason = _pick_in_tier(entry, work, ring)
    return Choice(
        record=chosen.record,
        deployment=chosen.deployment,
        version=chosen.version,
        reason=f'{reason} of {len(ring)} at rank {nearest}',
        turned_down=turned_down,
    )


def _pick_in_tier(
    entry: EntryState, work: AdmittedCall, ring: list[Choice]
) -> tuple[Choice, str]:
    if work.prefix is not None and len(ring) > 1:
        chosen = _pick_by_prefix(work.prefix, ring)
        if chosen is not None:
            return chosen, 'prefix affinity'
    pair = entry.rng.sample(ring, min(len(ring), 2))
    chosen = max(
        pair,
        key=lambda one: (one.record.spare, -one.record.latency),
    )
    return chosen, 'most spare of two'


def _pick_by_prefix(prefix: int, ring: list[Choice]) -> Choice | None:
    """Same target for the same start, unless it has more than its part."""
    mean = sum(one.record.in_flight for one in ring) / len(ring)
    bound = math.ceil((mean + 1) * LOAD_BOUND)
    scored = sorted(ring, key=lambda one: _score(prefix, one.record.target))
    for one in scored:
        fits = one.record.in_flight < bound
        if fits and one.record.spare > 0:
            return one
    return None


def _score(prefix: int, target: TargetName) -> bytes:
    digest = hashlib.blake2b(
        f'{prefix}/{target}'.encode(), digest_size=_SCORE_BYTES
    )
    return digest.digest()

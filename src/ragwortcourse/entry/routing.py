"""Chooses targets by rank, then by prefix affinity or spare permits."""

import dataclasses
import hashlib
import math
from collections.abc import Iterator, Sequence
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
SLOW_START_REASON: Final = 'on trial, and has what it may take'
_SCORE_BYTES: Final = 8
_TURNED_DOWN_LIMIT: Final = 16


def choose_target(
    entry: EntryState, work: AdmittedCall, tried: set[TargetName]
) -> Choice | NoChoice:
    """Choose the best target, or say why each target is rejected.

    Targets that are ejected or full in their slow start are chosen only if
    there are no others; their agents limit what they take.
    """
    turned_down: dict[str, str] = {}
    candidates: list[Choice] = []
    fallbacks: dict[str, list[Choice]] = {
        SLOW_START_REASON: [],
        EJECTED_REASON: [],
    }
    for choice in list_candidates(entry, work, tried):
        reason = find_objection(entry, work, choice, tried)
        if reason is None:
            candidates.append(choice)
        elif len(turned_down) < _TURNED_DOWN_LIMIT:
            turned_down[choice.record.target] = reason
        if reason in fallbacks and _object_to_version(work, choice) is None:
            fallbacks[reason].append(choice)
    for fallback in fallbacks.values():
        candidates = candidates or fallback
    if not candidates:
        return NoChoice(turned_down=turned_down)
    return _pick(entry, work, candidates, turned_down)


def choose_again(
    work: AdmittedCall, choices: Sequence[Choice], tried: set[TargetName]
) -> Choice | NoChoice:
    """Choose the first of earlier choices, with the version to serve by now.

    :param tried: targets to which the work is not sent again.
    """
    left = [choice for choice in choices if choice.record.target not in tried]
    turned_down: dict[str, str] = dict.fromkeys(tried, 'tried before')
    for choice in left:
        renewed = _renew_version(work, choice, left)
        reason = _object_to_version(work, renewed)
        if reason is None:
            return renewed
        turned_down[choice.record.target] = reason
    return NoChoice(turned_down=turned_down)


def _renew_version(
    work: AdmittedCall, choice: Choice, choices: Sequence[Choice]
) -> Choice:
    deployment = choice.deployment
    if not isinstance(deployment, ModelDeployment):
        return choice
    records = [
        one.record for one in choices if one.deployment.name == deployment.name
    ]
    return dataclasses.replace(
        choice, version=choose_version(deployment, records, work.adapter)
    )


def find_objection(
    entry: EntryState,
    work: AdmittedCall,
    choice: Choice,
    tried: set[TargetName],
) -> str | None:
    """Return the reason why a target can't take the work; none if it can."""
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
        return SLOW_START_REASON
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
    """Yield every watched target of the deployments, with a version to serve.

    The version is chosen from the targets that can take the work, as long
    as there are any, so that no version is required that is served only by
    targets that can't take the work, such as withdrawn or ejected ones.
    """
    for deployment in work.deployments:
        records = entry.directory.select(deployment.name)
        version: VersionName | None = None
        if isinstance(deployment, ModelDeployment):
            eligible = [
                record
                for record in records
                if _object_to_target(entry, record, deployment, tried) is None
            ]
            version = choose_version(
                deployment, eligible or records, work.adapter
            )
        for record in records:
            yield Choice(
                record=record,
                deployment=deployment,
                version=version,
                reason='',
                turned_down={},
            )


def rank_target(entry: EntryState, record: TargetRecord) -> int:
    """Rank a target; lower ranks are preferred.

    Targets with spare permits come first, then targets without spare
    permits, then targets without a status, as they have not answered a
    heartbeat recently. Within each group, nearer targets come first: own
    failure domain, own region by latency in steps of
    ``LATENCY_STEP_SECONDS``, other regions.
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
    ranks = [rank_target(entry, candidate.record) for candidate in candidates]
    nearest = min(ranks)
    tier = [
        candidate
        for candidate, rank in zip(candidates, ranks, strict=True)
        if rank == nearest
    ]
    chosen, reason = _pick_in_tier(entry, work, tier)
    return Choice(
        record=chosen.record,
        deployment=chosen.deployment,
        version=chosen.version,
        reason=f'{reason} of {len(tier)} at rank {nearest}',
        turned_down=turned_down,
    )


def _pick_in_tier(
    entry: EntryState, work: AdmittedCall, tier: list[Choice]
) -> tuple[Choice, str]:
    if work.prefix is not None and len(tier) > 1:
        chosen = _pick_by_prefix(work.prefix, tier)
        if chosen is not None:
            return chosen, 'prefix affinity'
    pair = entry.rng.sample(tier, min(len(tier), 2))
    chosen = max(
        pair,
        key=lambda candidate: (
            candidate.record.spare,
            -candidate.record.latency,
        ),
    )
    return chosen, 'most spare of two'


def _pick_by_prefix(prefix: int, tier: list[Choice]) -> Choice | None:
    """Choose the same target for the same prefix, within a load bound.

    The targets are ordered by rendezvous hashing. The first target is
    chosen that has spare permits and fewer requests in flight than
    ``(mean + 1) * LOAD_BOUND``, rounded up; none if no target qualifies.
    """
    mean = sum(candidate.record.in_flight for candidate in tier) / len(tier)
    bound = math.ceil((mean + 1) * LOAD_BOUND)
    scored = sorted(
        tier, key=lambda candidate: _score(prefix, candidate.record.target)
    )
    for candidate in scored:
        fits = candidate.record.in_flight < bound
        if fits and candidate.record.spare > 0:
            return candidate
    return None


def _score(prefix: int, target: TargetName) -> bytes:
    digest = hashlib.blake2b(
        f'{prefix}/{target}'.encode(), digest_size=_SCORE_BYTES
    )
    return digest.digest()

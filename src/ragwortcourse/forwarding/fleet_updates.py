"""Changes of what a daemon believes; each leaves one line in the log."""

import logging
from collections.abc import Mapping, Sequence
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import (
    NamedWeights,
    VersionHistory,
)
from ragwortcourse.identifiers import FailureDomainName, ModelName

# Versions of a model whose bounds may run at once: more than operators name
# within one bound.
VERSIONS_KEPT: Final = 16
# Rounding, and the way of a message.
TOLD_SLACK_SECONDS: Final = 0.25
# Below any version of a model.
NO_VERSION: Final = 0

LOGGER: Final = logging.getLogger(__name__)


def note_desired(state: FleetState, desired: DesiredState) -> None:
    """Take a desired state over, unless a newer one is in force."""
    current = state.desired
    if current is not None and desired.version <= current.version:
        return
    state.desired = desired
    LOGGER.info(
        'desired state in force',
        extra={
            'version': desired.version,
            'before': None if current is None else current.version,
            'hosts': len(desired.routes),
        },
    )


def note_withdrawals(
    state: FleetState, withdrawn: frozenset[FailureDomainName]
) -> None:
    """Take over which failure domains get no work."""
    if withdrawn != state.withdrawn:
        LOGGER.info(
            'withdrawn failure domains changed',
            extra={
                'withdrawn': sorted(withdrawn),
                'before': sorted(state.withdrawn),
            },
        )
    state.withdrawn = withdrawn


def note_weights(
    state: FleetState, model: ModelName, named: NamedWeights
) -> None:
    """Take over what the operators' rows say of a version.

    Versions only rise. What the daemon sees itself replaces an assumed time,
    and a later one that another daemon told.
    """
    known = _index_versions(state, model)
    if named.version < max(known, default=NO_VERSION):
        return
    if _corrects(known.get(named.version), named):
        _keep(state, model, known, [named])
        _log_named(model, named)


def note_found_weights(
    state: FleetState, model: ModelName, named: NamedWeights
) -> None:
    """Take over a version from a reading of all rows.

    A version that was known before has not been named since, so that the
    reading says nothing of its time.
    """
    known = _index_versions(state, model)
    if named.version > max(known, default=NO_VERSION):
        _keep(state, model, known, [named])
        _log_named(model, named)


def _log_named(model: ModelName, named: NamedWeights) -> None:
    LOGGER.info(
        'weights named',
        extra={
            'model': model,
            'version': named.version,
            'seconds_ago': read_clock_with_suspend() - named.seen_at,
            'observed': named.observed,
        },
    )


def note_history(state: FleetState, told: VersionHistory) -> None:
    """Take over what another daemon knows of the versions of models.

    Where it has read the operators' rows for longer, its word replaces times
    that had to be assumed, and versions in between, whose bounds may still
    run, are added. Otherwise it can only bring bounds forward.
    """
    is_longer = told.since < state.versions_complete_since
    for model, versions in told.versions.items():
        known = _index_versions(state, model)
        newest = max(known, default=NO_VERSION)
        taken = [
            each
            for each in versions
            if (is_longer and _corrects(known.get(each.version), each))
            or _brings_forward(known.get(each.version), each, newest)
        ]
        if taken:
            _keep(state, model, known, taken)
            _log_told(model, known, taken)


def _index_versions(
    state: FleetState, model: ModelName
) -> dict[int, NamedWeights]:
    return {each.version: each for each in state.weights.get(model, ())}


def _keep(
    state: FleetState,
    model: ModelName,
    known: Mapping[int, NamedWeights],
    taken: Sequence[NamedWeights],
) -> None:
    merged = {**known, **{each.version: each for each in taken}}
    state.weights[model] = tuple(merged[version] for version in sorted(merged))[
        -VERSIONS_KEPT:
    ]


def _brings_forward(
    known: NamedWeights | None, told: NamedWeights, newest: int
) -> bool:
    """Tell whether another daemon's word can only make bounds earlier."""
    if known is None:
        return told.observed or told.version > newest
    return known.observed and _corrects(known, told)


def _corrects(known: NamedWeights | None, told: NamedWeights) -> bool:
    """Tell whether a version is better known by another one's word.

    Of two times that were observed the earlier one counts: a daemon that
    stood still takes what it was told meanwhile for new.
    """
    if known is None:
        return True
    if not told.observed or not known.observed:
        return told.observed
    return told.seen_at < known.seen_at - TOLD_SLACK_SECONDS


def _log_told(
    model: ModelName,
    known: Mapping[int, NamedWeights],
    taken: Sequence[NamedWeights],
) -> None:
    now = read_clock_with_suspend()
    for named in taken:
        before = known.get(named.version)
        LOGGER.info(
            'naming told by another daemon',
            extra={
                'model': model,
                'version': named.version,
                'seconds_ago': now - named.seen_at,
                'observed': named.observed,
                'assumed_seconds_ago': before and now - before.seen_at,
            },
        )

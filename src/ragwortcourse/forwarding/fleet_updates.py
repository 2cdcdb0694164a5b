"""Changes of what a daemon believes; each leaves one line in the log."""

import logging
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import NamedWeights
from ragwortcourse.identifiers import FailureDomainName, ModelName

# Versions whose bounds may still run while newer ones are named.
VERSIONS_KEPT: Final = 4

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
    """Take a newly named version over; versions only rise."""
    known = state.weights.get(model, ())
    if known and named.version <= known[-1].version:
        return
    state.weights[model] = (*known, named)[-VERSIONS_KEPT:]
    LOGGER.info(
        'weights named',
        extra={
            'model': model,
            'version': named.version,
            'seconds_ago': read_clock() - named.seen_at,
            'observed': named.observed,
        },
    )


def note_naming(
    state: FleetState, model: ModelName, told: NamedWeights
) -> None:
    """Take a peer's word for when a version was named.

    It counts where the own daemon had to assume the time, or does not know
    of the version yet.
    """
    known = state.weights.get(model, ())
    if not known or told.version > known[-1].version:
        note_weights(state, model, told)
        return
    for index, each in enumerate(known):
        if each.version == told.version and not each.observed:
            state.weights[model] = (*known[:index], told, *known[index + 1 :])
            LOGGER.info(
                'naming told by another daemon',
                extra={
                    'model': model,
                    'version': told.version,
                    'seconds_ago': read_clock() - told.seen_at,
                    'assumed_seconds_ago': read_clock() - each.seen_at,
                },
            )

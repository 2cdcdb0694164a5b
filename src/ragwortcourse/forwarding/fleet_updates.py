"""Changes of what a daemon believes; each leaves one line in the log."""

import logging
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import NamedWeights
from ragwortcourse.identifiers import FailureDomainName, ModelName

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


def note_weights(state: FleetState, model: ModelName, version: int) -> None:
    """Take a newly named version over; versions only rise.

    It may have been named at any time since the store last answered.
    """
    current = state.weights.get(model)
    if current is not None and version <= current.version:
        return
    age = state.read_age() if state.confirmed_at else 0
    state.weights[model] = NamedWeights(
        version=version, seen_at=read_clock() - age
    )
    LOGGER.info(
        'weights named',
        extra={'model': model, 'version': version, 'seconds_ago': age},
    )

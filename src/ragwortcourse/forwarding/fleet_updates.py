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
    state: FleetState, model: ModelName, version: int, age: float
) -> None:
    """Take a newly named version over; versions only rise.

    :param age: seconds for which it may have been named.
    """
    named = state.weights.get(model, ())
    if named and version <= named[-1].version:
        return
    newest = NamedWeights(version=version, seen_at=read_clock() - age)
    state.weights[model] = (*named, newest)[-VERSIONS_KEPT:]
    LOGGER.info(
        'weights named',
        extra={'model': model, 'version': version, 'seconds_ago': age},
    )

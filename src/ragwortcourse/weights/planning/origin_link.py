"""Use of the origin's link, from its rate and limits in the desired state.

Load pattern: a version crosses the narrow link of its origin once for the
whole fleet. A few entry daemons (roots) in the origin's region draw the
chunks in order, so that loaders download the first ones while the last ones
are still being sent, and hosts that wait do not ask the origin themselves.
"""

from collections.abc import Iterator
from typing import Final

from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.identifiers import ModelName

# Concurrent calls of one root; the second covers the transit times.
CALLS_PER_ROOT: Final = 2
# Roots of all chunks. More of them would send the first chunks of all at
# once after an outage, and delay each.
MOST_ROOTS: Final = 8
# Share of the origin's connections that the roots may use.
CONNECTIONS_SHARE: Final = 0.5
# Prefetches start faster by this factor than the link carries them, so that
# late starts leave no pause on the link.
LEAD_FACTOR: Final = 1.25
# Longest wait for one chunk while others of its version arrive, as a multiple
# of the time of a copy, and a part that does not depend on the link.
PATIENCE_COPIES: Final = 1.5
PATIENCE_SECONDS: Final = 1.0


def find_origin(state: FleetState) -> ServiceRules | None:
    """Return the origin of weights, if the desired state names one."""
    if state.desired is None:
        return None
    services = state.desired.services.values()
    return next((rules for rules in services if rules.origin), None)


def read_origin_rate(state: FleetState) -> float:
    """Return the bytes a second of the origin's link; zero if unknown."""
    origin = find_origin(state)
    return 0 if origin is None else origin.origin_rate


def read_chunk_bytes(state: FleetState, model: ModelName) -> int:
    """Return the bytes of a chunk of a model; zero if unknown."""
    sizes = (engine.chunk_bytes for engine in _list_engines(state, model))
    return max(sizes, default=0)


def count_roots(state: FleetState) -> int:
    """Return how many entry daemons draw from the origin; zero: any number."""
    origin = find_origin(state)
    if origin is None or not origin.origin_rate:
        return 0
    if origin.connections <= 0:
        return MOST_ROOTS
    connections = int(origin.connections * CONNECTIONS_SHARE)
    return min(max(connections // CALLS_PER_ROOT, 1), MOST_ROOTS)


def measure_patience(state: FleetState, model: ModelName) -> float:
    """Compute how long to wait for the daemon that is to draw a chunk.

    :return: seconds; zero if the origin's rate is unknown.
    """
    rate = read_origin_rate(state)
    if not rate:
        return 0
    size = max(
        (
            engine.chunks * engine.chunk_bytes
            for engine in _list_engines(state, model)
        ),
        default=0,
    )
    return PATIENCE_SECONDS + size / rate * PATIENCE_COPIES


def _list_engines(
    state: FleetState, model: ModelName
) -> Iterator[EngineProfile]:
    services = () if state.desired is None else state.desired.services.values()
    for rules in services:
        if rules.engine is not None and rules.engine.model == model:
            yield rules.engine

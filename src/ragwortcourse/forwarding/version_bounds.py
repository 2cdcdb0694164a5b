"""Bounds from which requests may not begin on older weights."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.target import Target

# Targets with older weights get no requests from this long before the bound
# on old versions, as a request may wait at its target for as long.
VERSION_MARGIN_SECONDS: Final = 0.8
# A request that has not begun is cancelled this long before the bound, as the
# cancellation takes time to reach the target.
START_MARGIN_SECONDS: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionBound:
    """Time from which requests may not begin on versions before one.

    Times are seconds of the clock that runs during suspension.

    :param named: the version and when it was announced.
    :param outage_at: end of the last store outage, from which bounds restart.
    :param expires_at: the bound.
    """

    named: AnnouncedVersion
    outage_at: float
    expires_at: float


def list_bounds(
    forwarder: Forwarder, engine: EngineProfile | None
) -> Iterator[VersionBound]:
    """List the bounds of the announced versions, in order of version."""
    if engine is None:
        return
    state = forwarder.state
    seconds = forwarder.fleet.version_ms / 1000
    for named in state.weights.get(engine.model, ()):
        began_at = max(named.seen_at, state.store_outage_at)
        yield VersionBound(
            named=named,
            outage_at=state.store_outage_at,
            expires_at=began_at + seconds,
        )


def find_bound(
    forwarder: Forwarder, engine: EngineProfile | None, margin: float
) -> VersionBound | None:
    """Find the bound of the newest version that requests must begin on.

    :param margin: seconds before a bound from which it is kept.
    :return: none while no version has expired.
    """
    now = read_clock_with_suspend()
    due = (
        bound
        for bound in list_bounds(forwarder, engine)
        if now >= bound.expires_at - margin
    )
    return max(due, key=lambda bound: bound.named.version, default=None)


def read_required_version(
    forwarder: Forwarder, engine: EngineProfile | None
) -> int | None:
    """Compute the lowest version of weights that a request may begin on.

    :return: none while no version has expired.
    """
    bound = find_bound(forwarder, engine, VERSION_MARGIN_SECONDS)
    return None if bound is None else bound.named.version


def read_expected_version(forwarder: Forwarder, target: Target) -> int | None:
    """Read the version that a target must hold to begin a request.

    Load pattern: an engine is set back to expired weights, and the daemons
    that send to it still believe in the newer ones. Once a version has
    expired, the target itself refuses what would begin on it.

    :return: the version that the target is believed to hold; none while no
        version has expired.
    """
    engine = find_engine(forwarder, target)
    if read_required_version(forwarder, engine) is None:
        return None
    return forwarder.find_load(target).read_version(target)


def read_start_limit(forwarder: Forwarder, target: Target) -> float | None:
    """Compute the seconds within which a request must begin at a target.

    A request may wait at the target longer than estimated, until the weights
    of the target are too old to begin on.

    :return: none if there is no bound.
    """
    held = forwarder.find_load(target).read_version(target)
    bounds = (
        bound.expires_at
        for bound in list_bounds(forwarder, find_engine(forwarder, target))
        if bound.named.version > held
    )
    first = min(bounds, default=None)
    if first is None:
        return None
    return max(first - START_MARGIN_SECONDS - read_clock_with_suspend(), 0)


def find_engine(forwarder: Forwarder, target: Target) -> EngineProfile | None:
    """Find the engine profile of a target's service."""
    desired = forwarder.state.desired
    return None if desired is None else desired.find_engine(target.service)

"""Plan of the versions that one loader downloads.

Load pattern: all loaders of a fleet download the same versions over the same
links between relays and from the origin. They must come to the same choice,
so it is made from what is alike for all of them: the naming times, the bound
and the origin's rate. A loader whose engine holds nothing may also finish a
version that others serve, as that takes only its own link.
"""

import math
from collections.abc import Sequence
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.named_weights import (
    FIRST_VERSION,
    AnnouncedVersion,
)
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.planning.origin_link import read_origin_rate
from ragwortcourse.weights.planning.version_need import VersionNeed
from ragwortcourse.weights.planning.version_plan import plan_empty, plan_fleet

# The origin serves the newest version and the one before.
VERSIONS_AT_ORIGIN: Final = 2


def choose_next_version(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> int:
    """Return the version that the engine is to hold next."""
    named = loader_weights.list_named(rules)
    now = read_clock_with_suspend()
    bound = loader_weights.fleet.version_ms / 1000
    in_force = find_in_force(named, now=now, bound=bound)
    needs = [
        _measure_need(loader_weights, rules, each, in_force) for each in named
    ]
    held = max(
        loader_weights.read_held(rules),
        loader_weights.store.find_newest_whole(rules.model),
    )
    plan = plan_fleet(needs, held=held or in_force, now=now, bound=bound)
    if not held:
        plan = plan_empty(needs, plan, now=now, bound=bound)
    return plan[0].version


def find_in_force(
    named: Sequence[AnnouncedVersion], *, now: float, bound: float
) -> int:
    """Return the version that all engines were to hold by now, or zero."""
    due = [each.version for each in named if each.seen_at + bound <= now]
    if due:
        return max(due)
    return FIRST_VERSION if named[0].version == FIRST_VERSION else 0


def _measure_need(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    named: AnnouncedVersion,
    in_force: int,
) -> VersionNeed:
    """Estimate the downloads that a version still needs.

    A version in force comes from the hosts that serve it. How much of another
    one has left the origin is not known here: no less than has arrived.
    """
    version = named.version
    rate = read_origin_rate(loader_weights.state)
    missing = loader_weights.count_missing(rules, version)
    link_seconds = loader_weights.estimate_download_seconds(rules, version)
    is_held = version <= in_force or not rate
    newest = loader_weights.list_named(rules)[-1].version
    if missing and not is_held and version <= newest - VERSIONS_AT_ORIGIN:
        link_seconds = math.inf
    return VersionNeed(
        version=version,
        named_at=named.seen_at,
        link_seconds=link_seconds,
        origin_seconds=0 if is_held else missing * rules.chunk_bytes / rate,
    )

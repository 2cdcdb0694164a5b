"""Choice of the targets that an entry daemon watches."""

import dataclasses
import functools
from collections.abc import Iterator
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    TargetName,
)
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.rendezvous import pick_by_modulo, pick_highest

# Entry daemons that watch each target: in its failure domain and in others.
WATCHERS_NEAR: Final = 3
WATCHERS_FAR: Final = 1
# Targets that a daemon watches for its own routing: in total, and
# lower and upper bound per deployment in the own failure domain and in others.
CANDIDATES: Final = 60
NEAR_BOUNDS: Final = (2, 8)
FAR_BOUNDS: Final = (1, 4)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watcher:
    """An entry daemon that watches targets."""

    daemon: DaemonId
    failure_domain: FailureDomainName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchedSubset:
    """Targets to watch.

    :param assigned_targets: targets to which this daemon must send
        changes, because few other daemons watch them.
    :param candidates: targets for the daemon's own routing.
    """

    assigned_targets: frozenset[TargetName]
    candidates: frozenset[TargetName]

    @property
    def targets(self) -> frozenset[TargetName]:
        """Return all targets to watch."""
        return self.assigned_targets | self.candidates


@functools.lru_cache(maxsize=1)
def select_subset(
    own: Watcher,
    watchers: tuple[Watcher, ...],
    agents: tuple[ListedTarget, ...],
    withdrawn: frozenset[TargetName],
) -> WatchedSubset:
    """Choose the targets of one entry daemon; equal input, equal result.

    :param watchers: all known entry daemons, with or without ``own``.
    :param agents: targets of all known agents.
    :param withdrawn: targets in withdrawal, which can be assigned but are
        no candidates.
    """
    groups = _group_daemons({own, *watchers})
    assigned = frozenset(
        agent.target for agent in agents if _is_assigned(own, groups, agent)
    )
    wanted = tuple(agent for agent in agents if agent.target not in withdrawn)
    return WatchedSubset(
        assigned_targets=assigned, candidates=_select_candidates(own, wanted)
    )


def _group_daemons(
    watchers: set[Watcher],
) -> dict[FailureDomainName, list[DaemonId]]:
    groups: dict[FailureDomainName, list[DaemonId]] = {}
    for watcher in watchers:
        groups.setdefault(watcher.failure_domain, []).append(watcher.daemon)
    return groups


def _is_assigned(
    own: Watcher,
    groups: dict[FailureDomainName, list[DaemonId]],
    agent: ListedTarget,
) -> bool:
    peers = groups[own.failure_domain]
    if own.failure_domain == agent.failure_domain:
        return own.daemon in pick_highest(
            str(agent.target), peers, WATCHERS_NEAR
        )
    elsewhere = sorted(set(groups) - {agent.failure_domain})
    if own.failure_domain != pick_by_modulo(str(agent.target), elsewhere):
        return False
    near = agent.failure_domain in groups
    count = WATCHERS_FAR if near else WATCHERS_FAR + WATCHERS_NEAR
    return own.daemon in pick_highest(str(agent.target), peers, count)


def _select_candidates(
    own: Watcher, agents: tuple[ListedTarget, ...]
) -> frozenset[TargetName]:
    near: dict[DeploymentName, list[str]] = {}
    far: dict[DeploymentName, list[str]] = {}
    for agent in agents:
        is_near = agent.failure_domain == own.failure_domain
        group = near if is_near else far
        group.setdefault(agent.deployment, []).append(str(agent.target))
    return frozenset(_pick_candidates(own.daemon, near, far))


def _pick_candidates(
    own: DaemonId,
    near: dict[DeploymentName, list[str]],
    far: dict[DeploymentName, list[str]],
) -> Iterator[TargetName]:
    share = CANDIDATES // max(1, len(near.keys() | far.keys()))
    count_near = _clamp(share * 2 // 3, NEAR_BOUNDS)
    count_far = _clamp(share // 3, FAR_BOUNDS)
    for names in near.values():
        yield from map(TargetName, pick_highest(own, names, count_near))
    for deployment, distant in far.items():
        # Other failure domains make up for a deployment without near targets.
        count = count_far
        if deployment not in near:
            count += count_near
        yield from map(TargetName, pick_highest(own, distant, count))


def _clamp(count: int, bounds: tuple[int, int]) -> int:
    minimum, maximum = bounds
    return max(minimum, min(count, maximum))

"""Which targets an entry daemon watches."""

import dataclasses
import functools
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    DeploymentName,
    FailureDomainName,
    TargetName,
)
from ragwortcourse.membership.listed_target import ListedTarget
from ragwortcourse.membership.rendezvous import pick_highest

# Entry daemons that watch each target: of its failure domain, and elsewhere.
WATCHERS_NEAR: Final = 3
WATCHERS_FAR: Final = 1
# Targets that a daemon wants of each deployment: near, and elsewhere.
CANDIDATES_NEAR: Final = 8
CANDIDATES_FAR: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watcher:
    """An entry daemon as a chooser of targets."""

    daemon: DaemonId
    failure_domain: FailureDomainName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchedSubset:
    """Targets to watch.

    :param duties: targets that this daemon must keep informed, because
        few others watch them.
    :param candidates: targets that it wants for its own routing.
    """

    duties: frozenset[TargetName]
    candidates: frozenset[TargetName]

    @property
    def targets(self) -> frozenset[TargetName]:
        """Every target to watch."""
        return self.duties | self.candidates


@functools.lru_cache(maxsize=1)
def select_subset(
    own: Watcher,
    watchers: tuple[Watcher, ...],
    agents: tuple[ListedTarget, ...],
    withdrawn: frozenset[TargetName],
) -> WatchedSubset:
    """Targets for one entry daemon, the same for the same knowledge.

    :param watchers: every entry daemon known, with or without the own one.
    :param agents: every agent known.
    :param withdrawn: targets out of service: kept informed, not wanted.
    """
    groups = _group_daemons({own, *watchers})
    duties = frozenset(
        agent.target for agent in agents if _is_duty(own, groups, agent)
    )
    wanted = tuple(agent for agent in agents if agent.target not in withdrawn)
    return WatchedSubset(
        duties=duties, candidates=_select_candidates(own, wanted)
    )


def _group_daemons(
    watchers: set[Watcher],
) -> dict[FailureDomainName, list[DaemonId]]:
    groups: dict[FailureDomainName, list[DaemonId]] = {}
    for watcher in watchers:
        groups.setdefault(watcher.failure_domain, []).append(watcher.daemon)
    return groups


def _is_duty(
    own: Watcher,
    groups: dict[FailureDomainName, list[DaemonId]],
    agent: ListedTarget,
) -> bool:
    colleagues = groups[own.failure_domain]
    if own.failure_domain == agent.failure_domain:
        return own.daemon in pick_highest(
            str(agent.target), colleagues, WATCHERS_NEAR
        )
    elsewhere = set(groups) - {agent.failure_domain}
    chosen = pick_highest(str(agent.target), elsewhere, 1)
    if own.failure_domain not in chosen:
        return False
    near = agent.failure_domain in groups
    count = WATCHERS_FAR if near else WATCHERS_FAR + WATCHERS_NEAR
    return own.daemon in pick_highest(str(agent.target), colleagues, count)


def _select_candidates(
    own: Watcher, agents: tuple[ListedTarget, ...]
) -> frozenset[TargetName]:
    near: dict[DeploymentName, list[str]] = {}
    far: dict[DeploymentName, list[str]] = {}
    for agent in agents:
        is_near = agent.failure_domain == own.failure_domain
        group = near if is_near else far
        group.setdefault(agent.deployment, []).append(str(agent.target))
    chosen = [
        *_pick_each(own, near, CANDIDATES_NEAR),
        *_pick_each(own, far, CANDIDATES_FAR),
    ]
    return frozenset(TargetName(name) for name in chosen)


def _pick_each(
    own: Watcher, groups: dict[DeploymentName, list[str]], count: int
) -> list[str]:
    return [
        name
        for names in groups.values()
        for name in pick_highest(str(own.daemon), names, count)
    ]

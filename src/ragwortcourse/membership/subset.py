"""Which targets an entry daemon watches."""

import dataclasses
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
    everyone = tuple({own, *watchers})
    duties = frozenset(
        agent.target for agent in agents if _is_duty(own, everyone, agent)
    )
    wanted = tuple(agent for agent in agents if agent.target not in withdrawn)
    return WatchedSubset(
        duties=duties, candidates=_select_candidates(own, wanted)
    )


def _is_duty(
    own: Watcher, watchers: tuple[Watcher, ...], agent: ListedTarget
) -> bool:
    near = _list_daemons(watchers, agent.failure_domain)
    if own.failure_domain == agent.failure_domain:
        return own.daemon in pick_highest(
            str(agent.target), near, WATCHERS_NEAR
        )
    elsewhere = {
        watcher.failure_domain
        for watcher in watchers
        if watcher.failure_domain != agent.failure_domain
    }
    count = WATCHERS_FAR if near else WATCHERS_FAR + WATCHERS_NEAR
    chosen = pick_highest(str(agent.target), elsewhere, 1)
    if own.failure_domain not in chosen:
        return False
    far = _list_daemons(watchers, own.failure_domain)
    return own.daemon in pick_highest(str(agent.target), far, count)


def _list_daemons(
    watchers: tuple[Watcher, ...], failure_domain: FailureDomainName
) -> tuple[DaemonId, ...]:
    return tuple(
        watcher.daemon
        for watcher in watchers
        if watcher.failure_domain == failure_domain
    )


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

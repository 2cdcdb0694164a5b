"""Random usable targets with their descriptions."""

import functools
from collections.abc import Callable, Sequence

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.balancing.description import (
    Found,
    describe_targets,
)
from ragwortcourse.forwarding.balancing.scope import Scope
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.random_targets import (
    TargetPredicate,
    draw_targets,
)
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ServiceName

# Draws up to a number of usable targets.
Draw = Callable[[int, Scope], Sequence[Found]]


def make_draw(
    forwarder: Forwarder,
    engine: EngineProfile | None,
    *,
    newest: int,
    is_usable: TargetPredicate,
) -> Draw:
    """Make the function that draws and describes usable targets.

    :param engine: of the service; none for plain services.
    :param newest: see :func:`describe_targets`.
    """

    def draw(count: int, scope: Scope) -> list[Found]:
        targets = draw_targets(
            forwarder.state.targets.values(),
            count=count,
            rng=forwarder.rng,
            is_usable=lambda target: (
                _is_within(forwarder, target, scope)
                and is_usable(target)
                and (scope is Scope.ALL or not _is_avoided(forwarder, target))
            ),
            is_avoided=functools.partial(_is_avoided, forwarder),
        )
        described = describe_targets(
            forwarder, targets, engine=engine, newest=newest
        )
        return list(described)

    return draw


def read_home_share(forwarder: Forwarder, service: ServiceName) -> float:
    """Read the share of requests that look at the own domain first."""
    home_share, now = forwarder.balancing.home_share, read_clock()
    if not home_share.is_fresh(service, now):
        usable = [
            target
            for target in forwarder.state.targets.values()
            if target.service == service
            and not target.leaving
            and target.failure_domain not in forwarder.state.withdrawn
            and not _is_avoided(forwarder, target)
        ]
        home_share.count(service, usable, now)
    return home_share.read(service)


def _is_within(forwarder: Forwarder, target: Target, scope: Scope) -> bool:
    if scope is Scope.ALL:
        return True
    is_own = target.failure_domain == forwarder.settings.failure_domain
    return is_own == (scope is Scope.OWN_DOMAIN)


def _is_avoided(forwarder: Forwarder, target: Target) -> bool:
    now = read_clock()
    return forwarder.find_load(target).is_avoided(
        now
    ) or forwarder.state.reach.is_avoided(target.failure_domain, now)

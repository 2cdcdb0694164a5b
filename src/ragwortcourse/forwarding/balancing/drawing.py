"""Random usable targets with their descriptions."""

from collections.abc import Callable, Sequence

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.balancing.description import (
    Found,
    describe_targets,
)
from ragwortcourse.forwarding.balancing.scope import (
    WIDE_RESERVE,
    Scope,
    has_free_slot,
)
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
    service: ServiceName,
    engine: EngineProfile | None,
    *,
    newest: int,
    is_usable: TargetPredicate,
) -> Draw:
    """Make the function that draws and describes a service's usable targets.

    :param engine: of the service; none for plain services.
    :param newest: see :func:`describe_targets`.
    """

    def is_drawn(target: Target, scope: Scope) -> bool:
        return (
            _is_within(forwarder, target, scope)
            and is_usable(target)
            and (scope is Scope.ALL or not _is_avoided(forwarder, target))
        )

    def draw(count: int, scope: Scope) -> list[Found]:
        # The load of a full target is read faster than its other state.
        is_late_check = scope is Scope.FREE
        targets = draw_targets(
            forwarder.state.targets.values(),
            count=count,
            rng=forwarder.rng,
            is_usable=lambda target: (
                target.service == service
                and (is_late_check or is_drawn(target, scope))
            ),
            is_avoided=lambda target: (
                not is_late_check and _is_avoided(forwarder, target)
            ),
        )
        if is_late_check:
            targets = [each for each in targets if is_drawn(each, scope)]
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
    if scope is Scope.FREE:
        return has_free_slot(
            load=forwarder.find_load(target).estimate(read_clock()),
            slots=target.slots,
            reserve=WIDE_RESERVE,
        )
    is_own = target.failure_domain == forwarder.settings.failure_domain
    return is_own == (scope is Scope.OWN_DOMAIN)


def _is_avoided(forwarder: Forwarder, target: Target) -> bool:
    now = read_clock()
    return forwarder.find_load(target).is_avoided(
        now
    ) or forwarder.state.reach.is_avoided(target.failure_domain, now)

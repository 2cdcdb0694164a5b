"""Check of the routes of a desired state.

Load pattern: a state is taken whole, and a route that no request can match,
or whose limits leave no request any time, shows only in refusals.
"""

from collections.abc import Iterator, Mapping
from typing import Final

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import build_finding, check_unique
from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.platform.wire_state import (
    WireRoute,
    WireService,
    WireState,
)

SEPARATOR: Final = '/'


def check_routes(state: WireState) -> Iterator[Finding]:
    """Yield the findings in routes, with their places."""
    yield from check_unique(
        {
            f'routes[{index}].name': route.name
            for index, route in enumerate(state.routes)
        }
    )
    services = {service.name: service for service in state.services}
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(state.routes):
        place = f'routes[{index}]'
        match = route.host.lower(), route.prefix
        earlier = first.setdefault(match, index)
        if earlier != index:
            yield build_finding(
                f'{place}.prefix',
                route.prefix,
                'another host or prefix',
                f'never matches: routes[{earlier}] has the same',
            )
        yield from _check_match(place, route)
        yield from _check_limits(place, route)
        yield from _check_services(place, route, services)


def _check_match(place: str, route: WireRoute) -> Iterator[Finding]:
    if not route.host or ':' in route.host:
        yield build_finding(
            f'{place}.host',
            route.host,
            'a host without a port',
            'never matches a request',
        )
    if not route.prefix.startswith(SEPARATOR):
        yield build_finding(
            f'{place}.prefix',
            route.prefix,
            'a path that begins with /',
            'never matches a request',
        )


def _check_limits(place: str, route: WireRoute) -> Iterator[Finding]:
    if not route.timeout_ms:
        yield build_finding(
            f'{place}.timeout_ms',
            route.timeout_ms,
            'above zero',
            'leaves no time for any request',
        )
    for name, limit in (
        ('slo_ms', route.slo_ms),
        ('gap_target_ms', route.gap_target_ms),
    ):
        if route.timeout_ms and limit > route.timeout_ms:
            yield build_finding(
                f'{place}.{name}',
                limit,
                f'at most timeout_ms, {route.timeout_ms:g}',
                'is above the time limit of the route',
            )


def _check_services(
    place: str, route: WireRoute, services: Mapping[str, WireService]
) -> Iterator[Finding]:
    named = {f'{place}.service': route.service}
    if route.split:
        named = {
            f'{place}.split[{index}].service': share.service
            for index, share in enumerate(route.split)
        }
        yield from check_unique(named)
        if not any(share.weight for share in route.split):
            yield build_finding(
                f'{place}.split',
                [share.weight for share in route.split],
                'a weight above zero',
                'all weights are zero: every request is refused',
            )
    for spot, name in named.items():
        yield from _check_service(spot, route, services.get(name), name)


def _check_service(
    place: str, route: WireRoute, service: WireService | None, name: str
) -> Iterator[Finding]:
    if service is None or service.origin:
        yield build_finding(
            place,
            name,
            'a service of this state',
            'is no listed service' if service is None else 'is an origin',
        )
    elif route.route_type is CallKind.STREAMING and (
        service.engine is None or not service.engine.models
    ):
        yield build_finding(
            place,
            name,
            'a service with an engine that has a model',
            'has no model for a streaming route',
        )

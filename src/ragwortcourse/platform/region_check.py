"""Check of the regions and client accounts of a desired state.

Load pattern: a route and an account each allow regions, and a request needs a
target in a region that both allow. Where there is none, or no key is known,
every such request is refused.
"""

from collections.abc import Collection, Iterator

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import (
    build_finding,
    check_known,
    check_unique,
)
from ragwortcourse.platform.wire_state import (
    WireRoute,
    WireState,
    WireTenant,
)


def check_accounts(state: WireState) -> Iterator[Finding]:
    """Yield the findings in client accounts; no key is shown."""
    tenants = state.tenants or []
    yield from check_unique(
        {
            f'tenants[{index}].name': tenant.name
            for index, tenant in enumerate(tenants)
        }
    )
    first: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        place = f'tenants[{index}].api_keys'
        if not tenant.api_keys:
            yield build_finding(
                place, [], 'at least one key', 'no request can have a key of it'
            )
        for number, key in enumerate(tenant.api_keys):
            earlier = first.setdefault(key, f'{place}[{number}]')
            if earlier != f'{place}[{number}]':
                yield Finding(
                    place=f'{place}[{number}]',
                    value='',
                    allowed=f'a key other than that of {earlier}',
                    message='given twice; the last account has it',
                )


def check_regions(
    state: WireState, regions: Collection[str] | None
) -> Iterator[Finding]:
    """Yield the findings in allowed regions.

    :param regions: regions of the failure domains; none if not known.
    """
    tenants = state.tenants or []
    if regions is not None:
        yield from _check_known_regions(state, frozenset(regions))
    for index, route in enumerate(state.routes):
        if route.public or state.tenants is None:
            continue
        place = f'routes[{index}]'
        excluded = _list_excluded(route, tenants)
        if not tenants:
            yield build_finding(
                f'{place}.public',
                route.public,
                'true, or an account in tenants',
                'no request can have a key',
            )
        elif excluded:
            yield build_finding(
                f'{place}.allowed_regions',
                route.allowed_regions,
                'a region that each account allows',
                f'no region in common with {", ".join(excluded)}',
            )


def _list_excluded(route: WireRoute, tenants: list[WireTenant]) -> list[str]:
    """List the accounts that allow none of the regions of a route."""
    allowed = set(route.allowed_regions)
    return [
        tenant.name
        for tenant in tenants
        if allowed
        and tenant.allowed_regions
        and allowed.isdisjoint(tenant.allowed_regions)
    ]


def _check_known_regions(
    state: WireState, regions: frozenset[str]
) -> Iterator[Finding]:
    named = {
        f'routes[{index}]': route.allowed_regions
        for index, route in enumerate(state.routes)
    }
    named |= {
        f'tenants[{index}]': tenant.allowed_regions
        for index, tenant in enumerate(state.tenants or [])
    }
    for place, allowed in named.items():
        for number, region in enumerate(allowed):
            yield from check_known(
                f'{place}.allowed_regions[{number}]',
                region,
                regions,
                'region of any failure domain',
            )

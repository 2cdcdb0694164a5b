"""Services whose requests are scheduled by urgency.

Load pattern: routes of different priorities compete for the targets of one
service. Where all routes have one priority, no request goes before another
and admission is as without this package.
"""

import itertools

from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.route import Route
from ragwortcourse.identifiers import ServiceName


def is_scheduled(desired: DesiredState, service: ServiceName) -> bool:
    """Tell whether the routes of a service have different priorities."""
    routes = itertools.chain.from_iterable(desired.routes.values())
    priorities = {
        route.priority for route in routes if _has_traffic(route, service)
    }
    return len(priorities) > 1


def _has_traffic(route: Route, service: ServiceName) -> bool:
    return any(
        share.service == service and share.weight > 0
        for share in route.services
    )

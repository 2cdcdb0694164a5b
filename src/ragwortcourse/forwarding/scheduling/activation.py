"""Services whose requests are scheduled by urgency.

Load pattern: routes of different priorities compete for the targets of one
service, or targets are slowed down for some time by other work. Elsewhere no
request goes before another, and admission is as without this package.
"""

import itertools

from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.route import Route
from ragwortcourse.identifiers import ServiceName


def is_scheduled(
    desired: DesiredState, service: ServiceName, *, reports_pace: bool = False
) -> bool:
    """Tell whether the requests for a service are scheduled.

    :param reports_pace: true if targets of the service report their pace.
    :return: true also if its routes have different priorities.
    """
    if reports_pace:
        return True
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

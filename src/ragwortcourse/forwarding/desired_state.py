"""Desired state of a fleet at one version."""

import dataclasses
from collections.abc import Mapping

from ragwortcourse.forwarding.account import Account
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.route import Route
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.identifiers import ServiceName
from ragwortcourse.ingress.client_limits import NO_LIMITS, ClientLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """Routes, services and client accounts of one version.

    :param routes: by host in lower case, longest prefix first.
    :param accounts: by key; none if the fleet has no client accounts.
    :param client_limits: limits on what callers may send, and how slowly.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ServiceName, ServiceRules]
    accounts: Mapping[str, Account] | None = None
    client_limits: ClientLimits = NO_LIMITS

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that matches the path.

        :param host: host without port, in upper or lower case.
        :param path: path as received, without the query.
        """
        routes = self.routes.get(host.lower(), ())
        return next(
            (route for route in routes if path.startswith(route.prefix)), None
        )

    def find_engine(self, service: ServiceName) -> EngineProfile | None:
        """Find the engine profile of a service.

        :return: none for plain or unknown services.
        """
        rules = self.services.get(service)
        return None if rules is None else rules.engine

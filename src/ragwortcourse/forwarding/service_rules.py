"""Limits and engine profile of a service, set by the operators."""

import dataclasses

from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.identifiers import FailureDomainName, ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRules:
    """Limits of the targets of one service.

    :param cold_rate: requests a second that a cold target can take; zero for
        no limit.
    :param connections: connections that a target accepts.
    :param engine: none for plain services.
    :param origin: ``ip:port`` if the service is an origin of weights; empty
        otherwise.
    :param origin_domain: failure domain of the origin; none otherwise.
    :param origin_rate: bytes a second of the origin's link; zero if unknown.
    """

    name: ServiceName
    cold_rate: float = 0
    connections: int = 0
    engine: EngineProfile | None = None
    origin: str = ''
    origin_domain: FailureDomainName | None = None
    origin_rate: float = 0

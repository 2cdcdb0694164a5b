"""Routes: the services and limits for the requests of a host and prefix."""

import dataclasses

from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.identifiers import RegionName, ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """Service of a route with its share of the traffic.

    :param weight: weight relative to the other services of the route.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Services and limits of requests to a host with a path prefix.

    :param prefix: begins and ends with a slash.
    :param time_limit: seconds after which the caller has its final answer.
    :param objective: seconds to the answer, or to the first event of a
        stream, within which a request meets its objective.
    :param longest_gap: seconds between two events of a stream within which
        the stream is on time; zero if the route has no streams.
    :param max_tries: maximum number of targets that may run one request.
    :param public: true if no key is required.
    :param resumable: true if another target may continue a stream.
    :param priority: zero is the most urgent.
    :param regions: the only regions that may serve the route; empty allows
        all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[ServiceShare, ...]
    time_limit: float
    objective: float
    longest_gap: float = 0
    max_tries: int = 1
    public: bool = False
    resumable: bool = False
    priority: int = 0
    regions: frozenset[RegionName] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAMING and self.resumable
        )

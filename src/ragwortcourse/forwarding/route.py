"""Routes: which service serves a request, and under what terms."""

import dataclasses

from ragwortcourse.forwarding.call_kind import CallKind
from ragwortcourse.identifiers import RegionName, ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """One service of a route and its part of the traffic.

    :param weight: relative to the other services of the route.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Terms of the requests that begin with a prefix on a host.

    :param prefix: begins and ends with a slash.
    :param time_limit: seconds after which the caller has its final answer.
    :param objective: seconds to the answer, or to its first event, that
        earn full credit.
    :param longest_gap: seconds between two events of a stream that is still
        on time; zero where the route has no streams.
    :param max_tries: targets that one request may be sent to.
    :param public: true where no key is asked for.
    :param resumable: true where another target may go on with a stream.
    :param priority: zero goes first.
    :param regions: the only regions that may serve it; empty allows all.
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

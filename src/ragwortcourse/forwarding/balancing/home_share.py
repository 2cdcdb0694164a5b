"""Share of the requests that look at the own failure domain first.

Load pattern: most targets of one domain fail or leave, and all targets are
full. If the callers there waited for the few that remain, while those of the
other domains take theirs at once, they would be served least.
"""

from collections.abc import Iterable
from typing import Final

from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import FailureDomainName, ServiceName

# Targets are counted this often: a large fleet has thousands.
REFRESH_SECONDS: Final = 0.5
# A domain with a fifth less targets than the mean still serves its own callers
# first: their overflow is served elsewhere.
SLACK: Final = 1.25


class HomeShare:
    """Shares of the own domain in the targets of each service.

    :param own: own failure domain.
    :param domains: number of failure domains.
    """

    def __init__(self, *, own: FailureDomainName, domains: int) -> None:
        self._own = own
        self._domains = domains
        self._shares: dict[ServiceName, float] = {}
        self._counted_at: dict[ServiceName, float] = {}

    def is_fresh(self, service: ServiceName, now: float) -> bool:
        """Tell whether the targets of a service were counted lately."""
        counted_at = self._counted_at.get(service)
        return counted_at is not None and now - counted_at < REFRESH_SECONDS

    def count(
        self, service: ServiceName, usable: Iterable[Target], now: float
    ) -> None:
        """Count the usable targets of a service."""
        domains = [target.failure_domain for target in usable]
        fair = len(domains) / max(self._domains, 1)
        own = domains.count(self._own)
        self._shares[service] = min(SLACK * own / fair, 1) if domains else 1
        self._counted_at[service] = now

    def read(self, service: ServiceName) -> float:
        """Read the share of requests that the own targets can take.

        It is one where the own domain has as many targets as the others, or
        where they were not counted yet.
        """
        return self._shares.get(service, 1)

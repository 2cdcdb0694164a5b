"""Tests of :mod:`ragwortcourse.forwarding.balancing.home_share`."""

import pytest

from fakes.fleet_parts import (
    ENGINES,
    FAR_DOMAIN,
    NEAR_DOMAIN,
    SAME_REGION,
    make_target,
)
from ragwortcourse.forwarding.balancing.home_share import (
    REFRESH_SECONDS,
    HomeShare,
)


def read_share(own: int, others: int) -> float:
    """Read the share beside two domains with some targets each."""
    share = HomeShare(own=NEAR_DOMAIN, domains=3)
    domains = (
        [NEAR_DOMAIN] * own + [SAME_REGION] * others + [FAR_DOMAIN] * others
    )
    targets = [
        make_target(f't-{number}', failure_domain=domain)
        for number, domain in enumerate(domains)
    ]
    share.count(ENGINES, targets, 0)
    return share.read(ENGINES)


class TestHomeShare:
    """Share of the requests that look at the own domain first."""

    @pytest.mark.parametrize(('own', 'others'), [(6, 7), (7, 7), (9, 2)])
    def test_fair(self, own, others):
        """Requests do not cross links without need."""
        assert read_share(own, others) == 1

    def test_few_targets(self):
        """Callers do not all wait for the last targets of their domain."""
        assert read_share(2, 9) < 0.5
        assert read_share(0, 9) == 0

    def test_none(self):
        """Without targets nothing is divided by zero."""
        assert read_share(0, 0) == 1

    def test_counted_again(self):
        """Failed targets are noticed within a second."""
        share = HomeShare(own=NEAR_DOMAIN, domains=3)
        assert not share.is_fresh(ENGINES, 0)
        share.count(ENGINES, [], 0)
        assert share.is_fresh(ENGINES, REFRESH_SECONDS / 2)
        assert not share.is_fresh(ENGINES, REFRESH_SECONDS)

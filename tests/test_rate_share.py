"""Tests of :mod:`ragwortcourse.forwarding.rate_share`."""

import pytest

from fakes.fleet_parts import FAR_DOMAIN, NEAR_DOMAIN, make_plain
from ragwortcourse.forwarding.rate_share import (
    compute_burst,
    compute_share,
    rank_daemons,
)
from ragwortcourse.identifiers import DaemonId, RegionName
from ragwortcourse.membership.relay_daemons import RelayRecord

TARGET = make_plain(failure_domain=NEAR_DOMAIN)
# Bound of the users on all daemons together.
WINDOW_SECONDS = 4
OVERSHOOT = 1.5
SLACK = 5


def make_daemons(count: int, domain: str = NEAR_DOMAIN) -> list[RelayRecord]:
    """Build the records of some daemons."""
    return [
        RelayRecord(
            daemon=DaemonId(f'{domain}-{number}'),
            address='127.0.0.1:1',
            failure_domain=domain,
            region=RegionName('near'),
        )
        for number in range(count)
    ]


def list_shares(daemons: list[RelayRecord], rate: float, **options) -> list:
    """List the shares of all daemons."""
    ranked = rank_daemons(TARGET, daemons)
    return [
        compute_share(rate=rate, ranked=ranked, own=each.daemon, **options)
        for each in daemons
    ]


class TestComputeShare:
    """Shares of daemons that know of each other."""

    @pytest.mark.parametrize('daemons', [1, 9, 45, 350])
    @pytest.mark.parametrize('rate', [0.1, 1, 1.8, 2, 7.5, 40, 1000])
    def test_sum(self, daemons, rate):
        """All shares add up to the rate, bursts included to the bound."""
        shares = list_shares(make_daemons(daemons), rate)
        assert sum(shares) == pytest.approx(rate)
        most = sum(
            compute_burst(share) + share * WINDOW_SECONDS
            for share in shares
            if share
        )
        assert most <= OVERSHOOT * rate * WINDOW_SECONDS + SLACK

    def test_few_daemons_send(self):
        """A rate of one request a second is not divided."""
        shares = list_shares(make_daemons(350), 1)
        assert sorted(shares)[-2:] == [0, 1]

    def test_near_daemons_first(self):
        """Daemons in the failure domain of the target send first."""
        far = make_daemons(9, FAR_DOMAIN)
        near = make_daemons(2)
        shares = list_shares(far + near, 2)
        assert shares == [0] * 9 + [1, 1]

    def test_targets_are_spread(self):
        """Limits of many targets do not all fall to one daemon."""
        daemons = make_daemons(9)
        first = {
            rank_daemons(make_plain(f't-{number}'), daemons)[0]
            for number in range(60)
        }
        assert len(first) == 9

    def test_spare(self):
        """Spare daemons may send besides the first ones."""
        shares = list_shares(make_daemons(9), 1, spare=2)
        assert shares.count(1) == 3

"""Replays of 41 daemons before targets that are slow at times."""

import pytest

from fakes.uneven_fleet import FleetDay, play_day
from fakes.uneven_outcomes import compute_figures

# Seeds of the days that are taken together, as one is short.
SEEDS = (1, 2)
# Of what the callers of other domains get, those of the busiest get as much.
FAIR_SHARE = 0.9


def play(*, load: float, reports_pace: bool, **changes: object):
    """Play days of all seeds; return the figures of all of them."""
    return compute_figures(
        [
            outcome
            for seed in SEEDS
            for outcome in play_day(
                FleetDay(
                    seed=seed,
                    seconds=13,
                    load=load,
                    reports_pace=reports_pace,
                    **changes,
                )
            )
        ]
    )


class TestUnevenTargets:
    """Placement by expected time where targets report their pace."""

    @pytest.mark.parametrize('load', [0.45, 0.65, 1.0])
    def test_better_than_by_load(self, load):
        """Late starts, as daemons send to slow targets or all to one.

        The same requests are placed by their targets' load shares if these do
        not report a pace.
        """
        by_load = play(load=load, reports_pace=False)
        by_time = play(load=load, reports_pace=True)
        assert by_time.on_time > by_load.on_time
        assert by_time.late < by_load.late
        assert by_time.start < by_load.start
        # Bytes between regions are priced.
        assert by_time.far < by_load.far / 2

    @pytest.mark.parametrize('load', [0.65, 1.0])
    def test_busy_domain(self, load):
        """Callers of the domain with most requests are not served less."""
        shares = play(load=load, reports_pace=True).shares
        busiest = shares.pop('b')
        assert busiest >= FAIR_SHARE * sum(shares.values()) / len(shares)

    def test_domain_with_one_target(self):
        """Callers are not starved where most near targets are gone.

        No failure domain may be served less than a quarter as often as all;
        the bound is far above, as the replay is short.
        """
        figures = play(
            load=1.0,
            reports_pace=True,
            target_domains='acacaabcacacacacacac',
        )
        assert figures.shares['b'] >= 0.75 * figures.on_time

    def test_reports_stop(self):
        """Without reports the paces are unknown, and placement goes on."""
        known = play(load=0.65, reports_pace=True)
        stopped = play(load=0.65, reports_pace=True, reports_until=4)
        assert stopped.on_time > 0.9 * known.on_time

"""Tests of :mod:`ragwortcourse.forwarding.target_load`."""

import pytest

from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.peer_counts import PeerCounts
from ragwortcourse.forwarding.target_load import (
    FRESH_REPORT_SECONDS,
    TargetLoad,
)
from ragwortcourse.identifiers import DaemonId, TargetName

NAME = TargetName('t-1')


def make_load(*, counted: int, pace: float | None) -> TargetLoad:
    """Build a load with two own requests and a report of ten."""
    peers = PeerCounts()
    peers.note(DaemonId('e-2'), {NAME: (counted, 0)}, 0)
    load = TargetLoad(name=NAME, born=1, peers=peers)
    for _ in range(2):
        load.count_sent(0)
    load.note_load(ReportedLoad(running=9, waiting=1, slots=12, pace=pace), 0)
    return load


class TestEstimate:
    """Estimated requests of all daemons at a target."""

    @pytest.mark.parametrize('counted', [3, 14])
    def test_report_with_a_pace(self, counted):
        """Late counts of others do not hide what an engine just reported."""
        load = make_load(counted=counted, pace=1)
        assert load.estimate(0) == 10
        halfway = load.estimate(FRESH_REPORT_SECONDS / 2)
        assert halfway == pytest.approx((10 + 2 + counted) / 2)
        assert load.estimate(FRESH_REPORT_SECONDS) == 2 + counted

    def test_report_without(self):
        """Targets that report three figures are estimated as before."""
        assert make_load(counted=14, pace=None).estimate(0) == 16
        assert make_load(counted=3, pace=None).estimate(0) == 6

"""Tests of the paces in :mod:`ragwortcourse.forwarding.balancing`."""

import dataclasses
import random

import pytest

from fakes.fleet_parts import ENGINES, make_state, make_target
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.balancing.pace_news import (
    encode_news,
    note_news,
)
from ragwortcourse.forwarding.balancing.target_pace import (
    HOLD_SECONDS,
    UNKNOWN_PACE,
)
from ragwortcourse.forwarding.balancing.target_paces import (
    REPORTING_SECONDS,
    TargetPaces,
)

TARGET = make_target('t-0')
OTHER = make_target('t-1')
SLOW = 2.5
SLOW_SHARE = 0.15
LONG_RUN = 1 + SLOW_SHARE * (SLOW - 1)


def report(pace: float | None) -> ReportedLoad:
    """Build a load report with a pace."""
    return ReportedLoad(running=3, waiting=0, slots=12, pace=pace)


def make_paces(*, reports: int = 0) -> TargetPaces:
    """Build paces after some reports of both targets, one a second."""
    paces, rng = TargetPaces(state=make_state(TARGET, OTHER)), random.Random(1)
    for second in range(-reports, 0):
        for target in (TARGET, OTHER):
            pace = SLOW if rng.random() < SLOW_SHARE else 1
            paces.note_report(target, report(pace), second)
    return paces


class TestEstimate:
    """Belief of a target's pace."""

    def test_fresh_report(self):
        """A slow target is known as slow by its first report."""
        paces = make_paces(reports=60)
        paces.note_report(TARGET, report(SLOW), 0)
        estimate = paces.estimate(TARGET, 0)
        assert (estimate.pace, estimate.spread) == (SLOW, 0)
        assert paces.count_slow(0) == 1
        assert paces.count_slow(HOLD_SECONDS) == 0

    def test_tends_to_the_mean(self):
        """An outdated report neither attracts nor repels requests."""
        paces = make_paces(reports=100)
        for pace in (SLOW, 1):
            paces.note_report(TARGET, report(pace), 0)
            halfway = paces.estimate(TARGET, HOLD_SECONDS / 2)
            old = paces.estimate(TARGET, HOLD_SECONDS)
            assert old.pace == pytest.approx(LONG_RUN, abs=0.1)
            assert old.spread == pytest.approx(0.54, abs=0.15)
            assert abs(halfway.pace - old.pace) < abs(pace - old.pace)

    def test_no_report_yet(self):
        """A target without a report counts as the mean of the others."""
        paces = TargetPaces(state=make_state(TARGET, OTHER))
        for second in range(100):
            paces.note_report(OTHER, report(2), second)
        assert paces.estimate(TARGET, 100).pace == pytest.approx(2, abs=0.3)

    def test_service_without_paces(self):
        """Targets that report three figures count as before."""
        paces = TargetPaces(state=make_state(TARGET))
        paces.note_report(TARGET, report(None), 0)
        assert paces.estimate(TARGET, 0) == UNKNOWN_PACE
        assert not paces.reports_pace(ENGINES, 0)

    def test_reports_stop(self):
        """A service whose targets report no pace any more is as before."""
        paces = make_paces(reports=60)
        assert paces.reports_pace(ENGINES, 0)
        paces.note_report(TARGET, report(None), 0)
        assert paces.estimate(TARGET, 0) == paces.estimate(
            make_target('t-9'), 0
        )
        assert not paces.reports_pace(ENGINES, REPORTING_SECONDS)

    def test_restart(self):
        """A new incarnation inherits nothing, also from late answers."""
        state = make_state(TARGET, OTHER)
        paces = TargetPaces(state=state)
        paces.note_report(TARGET, report(SLOW), 0)
        newer = dataclasses.replace(TARGET, born=2)
        state.targets[TARGET.name] = newer
        paces.note_report(TARGET, report(SLOW), 0.1)
        assert paces.estimate(newer, 0.1).pace < LONG_RUN
        paces.note_report(newer, report(1), 0.2)
        assert paces.estimate(newer, 0.2).pace == 1


class TestNews:
    """News of paces between daemons."""

    def exchange(self, teller: TargetPaces, hearer: TargetPaces, at: float):
        """Tell the news of the last half second; return it."""
        news = encode_news(teller, now=at, seconds=0.5)
        note_news(hearer, news, at)
        return news

    def test_slow(self):
        """A target that is slow for one daemon is slow for all, for a time."""
        teller, hearer = make_paces(reports=60), make_paces(reports=60)
        teller.note_report(TARGET, report(SLOW), 0)
        self.exchange(teller, hearer, 0.2)
        expected = teller.estimate(TARGET, 0.2).pace
        assert expected > 1.8
        assert hearer.estimate(TARGET, 0.2).pace == pytest.approx(
            expected, abs=0.01
        )

    def test_usual_again(self):
        """The end of a slow time is told, and not undone by older news."""
        teller, hearer = make_paces(reports=60), make_paces(reports=60)
        teller.note_report(TARGET, report(SLOW), 0)
        late = encode_news(teller, now=0.1, seconds=0.5)
        teller.note_report(TARGET, report(1), 0.1)
        self.exchange(teller, hearer, 0.1)
        note_news(hearer, late, 0.15)
        assert hearer.estimate(TARGET, 0.15).pace < LONG_RUN

    def test_few_bytes(self):
        """Usual paces, old reports and gone targets are no news."""
        teller, hearer = make_paces(reports=60), make_paces(reports=60)
        teller.note_report(OTHER, report(1), 0)
        assert self.exchange(teller, hearer, 0.1) is None
        teller.note_report(TARGET, report(SLOW), 0)
        assert self.exchange(teller, hearer, HOLD_SECONDS) is None
        gone = TargetPaces(state=make_state(OTHER))
        gone.note_news([(TARGET.name, SLOW, 0)])
        assert not gone.reports_pace(ENGINES, 0)

"""Tests of :mod:`ragwortcourse.forwarding.crash_evidence`."""

import itertools
import math

import pytest
from hypothesis import given, strategies

from ragwortcourse.crashes.suspect import SuspectKind
from ragwortcourse.crashes.verdict import Verdict, judge_suspect
from ragwortcourse.forwarding.crash_evidence import (
    RUNS_LIMIT,
    CrashEvidence,
)
from ragwortcourse.forwarding.crash_rules import RULES
from ragwortcourse.forwarding.lost_run import Fate, LostRun, RunEnd
from ragwortcourse.identifiers import TargetName


def make_run(name: str, sent_at: float, lost_at: float, **changes) -> LostRun:
    """Build a lost run at an incarnation that ended."""
    usual = {'born': 1, 'fate': Fate.ENDED, 'ended_at': lost_at}
    return LostRun(
        target=TargetName(name),
        sent_at=sent_at,
        lost_at=lost_at,
        **{**usual, **changes},
    )


def make_evidence(*runs: LostRun) -> CrashEvidence:
    """Build evidence from lost runs."""
    evidence = CrashEvidence(rules=RULES[SuspectKind.REQUEST])
    for run in runs:
        evidence.note_run(run)
    return evidence


class TestCounts:
    """Counts of crashes that a request may have caused."""

    def test_successive(self):
        """Targets that ended one after another each count."""
        evidence = make_evidence(
            make_run('a', 0, 1), make_run('b', 1, 2), make_run('c', 5, 6)
        )
        assert evidence.count_proven() == 3
        assert evidence.targets == ['a', 'b', 'c']

    def test_equal_requests_in_a_rack_without_power(self):
        """Equal requests at targets that end together count once."""
        evidence = make_evidence(
            *(
                make_run(name, 0.9, 1 + index / 100)
                for index, name in enumerate('abcdef')
            )
        )
        assert evidence.count_proven() == 1

    def test_same_incarnation(self):
        """Several runs at one incarnation count once."""
        evidence = make_evidence(make_run('a', 0, 1), make_run('a', 2, 3))
        assert evidence.count_proven() == 1

    def test_restarted_target(self):
        """A target that ended twice counts twice."""
        evidence = make_evidence(
            make_run('a', 0, 1), make_run('a', 2, 3, born=2)
        )
        assert evidence.count_proven() == 2

    def test_complete_answer(self):
        """Crashes before a complete answer do not count."""
        evidence = make_evidence(make_run('a', 0, 1), make_run('b', 1, 2))
        evidence.note_answer(1.5)
        assert evidence.count_proven() == 1
        evidence.note_answer(3)
        assert evidence.count_proven() == 0

    def test_survived(self):
        """A target that answered later does not count."""
        evidence = make_evidence(
            make_run('a', 0, 1, fate=Fate.SURVIVED),
            make_run('b', 1, 2, fate=Fate.UNKNOWN),
        )
        assert evidence.count_proven() == 0
        assert evidence.count_suspected() == 1

    def test_bounded(self):
        """Only the newest runs are kept."""
        evidence = make_evidence(
            *(make_run(f't-{each}', each, each + 1) for each in range(40))
        )
        assert len(evidence.runs) == RUNS_LIMIT
        assert evidence.newest_at == 40


RUNS = strategies.builds(
    make_run,
    strategies.sampled_from('abc'),
    strategies.integers(0, 5),
    strategies.integers(6, 9),
    born=strategies.integers(1, 2),
    fate=strategies.sampled_from(Fate),
    end=strategies.sampled_from(RunEnd),
    ended_at=strategies.integers(6, 9),
    losses=strategies.integers(0, 1),
)


class TestOrder:
    """Reports in any order."""

    @given(strategies.lists(RUNS, max_size=5))
    def test_any_order(self, runs):
        """The order of reports does not matter, nor do repeats."""
        counts = set()
        for order in itertools.islice(itertools.permutations(runs), 30):
            evidence = make_evidence(*order, *order)
            counts.add((evidence.count_proven(), evidence.count_suspected()))
        assert len(counts) == 1


class TestVerdict:
    """Verdicts by counts."""

    @pytest.mark.parametrize(
        ('proven', 'suspected', 'verdict'),
        [
            (0, 0, Verdict.ALLOWED),
            (0, 1, Verdict.SUSPECT),
            (2, 2, Verdict.SUSPECT),
            (0, 3, Verdict.HELD),
            (3, 3, Verdict.REFUSED),
        ],
    )
    def test_verdict(self, proven, suspected, verdict):
        """Only crashes that are certain lead to a lasting refusal."""
        assert verdict is judge_suspect(
            proven=proven, suspected=suspected, refused_from=3
        )

    def test_nothing(self):
        """Evidence without runs has no newest loss."""
        assert (
            CrashEvidence(rules=RULES[SuspectKind.REQUEST]).newest_at
            == -math.inf
        )

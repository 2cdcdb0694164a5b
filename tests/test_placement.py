"""Tests of :mod:`ragwortcourse.forwarding.placement`."""

import random
from collections import Counter

from fakes.fleet_parts import make_target
from ragwortcourse.forwarding.placement import (
    Candidate,
    Distance,
    choose_candidate,
)


def make_candidate(name: str = 't-1', **changes: object) -> Candidate:
    """An idle target in the own failure domain."""
    usual: dict[str, object] = {
        'target': make_target(name),
        'load': 0.0,
        'distance': Distance.SAME_DOMAIN,
    }
    return Candidate(**{**usual, **changes})


def choose_often(*candidates: Candidate) -> Counter[str]:
    """How often each is chosen of a hundred times."""
    rng = random.Random(5)
    chosen = (choose_candidate(candidates, rng) for _ in range(100))
    return Counter(each.target.name for each in chosen)


class TestChooseCandidate:
    """Choice of a target."""

    def test_none(self):
        """There is no choice without candidates."""
        assert choose_candidate([], random.Random(1)) is None

    def test_less_load(self):
        """The target with clearly less load is chosen."""
        full = make_candidate('full', load=12)
        assert choose_often(full, make_candidate('free')) == {'free': 100}

    def test_equal_load_is_shared(self):
        """Daemons that see the same loads do not all choose the same."""
        counts = choose_often(make_candidate('a'), make_candidate('b'))
        assert min(counts.values()) > 25

    def test_unread_prompts(self):
        """A target that still has prompts to read is passed by."""
        busy = make_candidate('busy', starting=2)
        assert choose_often(busy, make_candidate('free', load=4)) == {
            'free': 100
        }

    def test_near_before_far(self):
        """The own failure domain is preferred, all else being equal."""
        far = make_candidate('far', distance=Distance.OTHER_REGION)
        counts = choose_often(far, make_candidate('near'))
        assert counts['near'] > counts['far']

    def test_far_before_full(self):
        """A far target is better than a full one."""
        far = make_candidate('far', distance=Distance.OTHER_REGION)
        assert choose_often(far, make_candidate('full', load=15)) == {
            'far': 100
        }

    def test_trouble(self):
        """A target that failed of late is passed by."""
        bad = make_candidate('bad', trouble=1)
        assert choose_often(bad, make_candidate('good', load=4)) == {
            'good': 100
        }

    def test_silence(self):
        """A silent target is taken only where all are silent."""
        silent = make_candidate('silent', silent=True)
        full = make_candidate('full', load=30)
        assert choose_often(silent, full) == {'full': 100}

    def test_changing(self):
        """A request that was moved goes where weights stay."""
        changing = make_candidate('changing', changing=True)
        assert choose_often(changing, make_candidate('stays', load=6)) == {
            'stays': 100
        }

"""Tests of :mod:`ragwortcourse.forwarding.placement`."""

import random
from collections import Counter

import pytest

from fakes.fleet_parts import make_target
from ragwortcourse.forwarding.placement import (
    SLOW_START_SECONDS,
    Candidate,
    Distance,
    choose_candidate,
)

OBJECTIVE = 0.4
READ_SECONDS = 0.06
NEWS_SECONDS = 0.25
UNREAD_SECONDS = 0.2
STAY_SECONDS = 1.0


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
        busy = make_candidate('busy', unanswered=2)
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
        bad = make_candidate('bad', failure_score=1)
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

    def test_just_opened(self):
        """A target that just opened is not taken for empty."""
        opened = make_candidate('opened', seconds_available=0)
        busy = make_candidate('busy', load=4)
        assert choose_often(opened, busy) == {'busy': 100}

    @pytest.mark.parametrize('seed', range(5))
    def test_reopened_engine_replayed(self, seed):
        """An engine that opens beside loaded ones begins its work in time.

        Seven daemons, whose news of each other is a quarter of a second old,
        share 70 requests a second over ten engines; each prompt takes 0.06 s
        to be read, and a first word is due within 0.4 s.
        """
        waits = replay_opening(random.Random(seed))
        late = sum(wait > OBJECTIVE for wait in waits)
        assert late <= 0.1 * len(waits)


def replay_opening(rng: random.Random) -> list[float]:
    """Seconds until each prompt that the opened engine got is read."""
    sent: list[tuple[float, int, int]] = []
    waits, free_at, now = [], 0.0, 0.0
    while now < 2:
        now += rng.expovariate(70)
        daemon = rng.randrange(7)
        seen = [
            engine
            for at, sender, engine in sent
            if now - at < STAY_SECONDS
            and (sender == daemon or now - at > NEWS_SECONDS)
        ]
        unread = [
            engine
            for at, sender, engine in sent
            if now - at < UNREAD_SECONDS
            and (sender == daemon or now - at > NEWS_SECONDS)
        ]
        chosen = choose_candidate(
            [
                make_candidate(
                    str(engine),
                    # Nine are at work for long.
                    load=seen.count(engine)
                    + (max(9 - 9 * now, 0) if engine else 0),
                    unanswered=unread.count(engine),
                    seconds_available=SLOW_START_SECONDS if engine else now,
                )
                for engine in range(10)
            ],
            rng,
        )
        engine = int(chosen.target.name)
        sent.append((now, daemon, engine))
        if engine == 0:
            free_at = max(free_at, now) + READ_SECONDS
            waits.append(free_at - now)
    return waits

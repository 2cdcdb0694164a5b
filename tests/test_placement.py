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
    """Build an idle candidate in the daemon's failure domain."""
    usual: dict[str, object] = {
        'target': make_target(name),
        'load': 0.0,
        'distance': Distance.SAME_DOMAIN,
    }
    return Candidate(**{**usual, **changes})


def choose_often(*candidates: Candidate) -> Counter[str]:
    """Count how often each candidate is chosen in a hundred choices."""
    rng = random.Random(5)
    chosen = (choose_candidate(candidates, rng) for _ in range(100))
    return Counter(each.target.name for each in chosen)


class TestChooseCandidate:
    """Choice of a candidate."""

    def test_none(self):
        """Without candidates there is no choice."""
        assert choose_candidate([], random.Random(1)) is None

    def test_less_load(self):
        """The target with clearly less load is chosen."""
        full = make_candidate('full', load=12)
        assert choose_often(full, make_candidate('free')) == {'free': 100}

    def test_equal_load_is_shared(self):
        """Jitter spreads the choice between equally loaded targets."""
        counts = choose_often(make_candidate('a'), make_candidate('b'))
        assert min(counts.values()) > 25

    def test_unread_prompts(self):
        """A target with unprocessed prompts is avoided."""
        busy = make_candidate('busy', unanswered=2)
        assert choose_often(busy, make_candidate('free', load=4)) == {
            'free': 100
        }

    def test_near_before_far(self):
        """The daemon's failure domain is preferred at equal load."""
        far = make_candidate('far', distance=Distance.OTHER_REGION)
        counts = choose_often(far, make_candidate('near'))
        assert counts['near'] > counts['far']

    def test_far_before_full(self):
        """A distant target is preferred to a full one."""
        far = make_candidate('far', distance=Distance.OTHER_REGION)
        assert choose_often(far, make_candidate('full', load=15)) == {
            'far': 100
        }

    def test_trouble(self):
        """A target that failed recently is avoided."""
        bad = make_candidate('bad', failure_score=1)
        assert choose_often(bad, make_candidate('good', load=4)) == {
            'good': 100
        }

    def test_silence(self):
        """A target that stopped answering is chosen last."""
        silent = make_candidate('silent', silent=True)
        full = make_candidate('full', load=30)
        assert choose_often(silent, full) == {'full': 100}

    def test_changing(self):
        """A target whose weights will change soon is avoided."""
        changing = make_candidate('changing', changing=True)
        assert choose_often(changing, make_candidate('stays', load=6)) == {
            'stays': 100
        }

    def test_just_opened(self):
        """A target in its slow start counts as partly loaded."""
        opened = make_candidate('opened', seconds_available=0)
        busy = make_candidate('busy', load=4)
        assert choose_often(opened, busy) == {'busy': 100}

    @pytest.mark.parametrize('seed', range(5))
    def test_reopened_engine_replayed(self, seed):
        """An engine that becomes available is not flooded with requests.

        Seven daemons, which know each other's requests a quarter of a second
        late, distribute 70 requests a second over ten engines. Each prompt
        takes 0.06 s to process, and the first token is due within 0.4 s.
        """
        waits = replay_opening(random.Random(seed))
        late = sum(wait > OBJECTIVE for wait in waits)
        assert late <= 0.1 * len(waits)


def replay_opening(rng: random.Random) -> list[float]:
    """Simulate the wait of each prompt at an engine in its slow start.

    :return: seconds until each prompt is processed.
    """
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
                    # Nine engines carry load from before, which drains.
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

"""Tests of :mod:`ragwortcourse.forwarding.balancing.search`."""

import dataclasses
import random
from collections import Counter

import pytest

from fakes.fleet_parts import ENGINE_RULES, FAR_DOMAIN, make_target
from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    is_admitted,
)
from ragwortcourse.forwarding.balancing.description import Found
from ragwortcourse.forwarding.balancing.scope import Scope
from ragwortcourse.forwarding.balancing.search import Search
from ragwortcourse.forwarding.balancing.start_cost import (
    LONG_PAUSE_SECONDS,
    Transfer,
    compute_cost,
)
from ragwortcourse.forwarding.placement import Candidate, Distance

DEMAND = Demand(prompt_tokens=977, time_left=0.4)
TRANSFER = Transfer(request_bytes=4000, answer_tokens=94, longest_gap=0.4)
FULL = 18


def make_found(
    name: str, *, load: float = 0, is_far: bool = False, **changes
) -> Found:
    """Build a target with some requests."""
    pace, slots = changes.pop('pace', 1), changes.pop('slots', 16)
    target = make_target(
        name, **({'failure_domain': FAR_DOMAIN} if is_far else {})
    )
    candidate = Candidate(
        target=target,
        load=load,
        distance=Distance.OTHER_REGION if is_far else Distance.SAME_DOMAIN,
        **changes,
    )
    place = TargetOccupancy(
        load=load, slots=slots, engine=ENGINE_RULES, pace=pace
    )
    return Found(candidate=candidate, place=place)


def find(*targets: Found) -> Counter[str]:
    """Count how often each target is found in a hundred searches."""
    rng, counts = random.Random(1), Counter()

    def draw(count: int, scope: Scope) -> list[Found]:
        within = [
            each
            for each in targets
            if scope in {Scope.ALL, Scope.FREE}
            or (each.candidate.distance is Distance.SAME_DOMAIN)
            == (scope is Scope.OWN_DOMAIN)
        ]
        return rng.sample(within, min(count, len(within)))

    search = Search(
        draw=draw,
        has_room=lambda found: is_admitted(found.place, DEMAND),
        compute_cost=lambda found: compute_cost(found, DEMAND, TRANSFER),
        home_share=1,
        rng=rng,
    )
    for _ in range(100):
        found = search.find_soonest()
        counts[found.candidate.target.name if found else None] += 1
    return counts


class TestFindSoonest:
    """Search for the target at which a request begins soonest."""

    def test_none(self):
        """Without usable targets nothing is found."""
        assert find() == {None: 100}

    def test_slow(self):
        """A slow target is not chosen before a busier one of usual pace."""
        slow = make_found('slow', load=2, pace=2.5)
        assert find(slow, make_found('usual', load=5))['usual'] >= 95

    def test_own_domain(self):
        """Requests do not cross links while the near targets have room."""
        near = make_found('near', load=9)
        assert find(near, make_found('far', is_far=True)) == {'near': 100}

    def test_overflow(self):
        """Callers of a full domain are served by the others."""
        near = [make_found(f'near-{each}', load=FULL) for each in range(7)]
        assert find(*near, make_found('far', load=6, is_far=True)) == {
            'far': 100
        }

    def test_late_news(self):
        """The last slots of a far target are not taken on late news."""
        near = make_found('near', load=FULL)
        far = make_found('far', load=15, is_far=True)
        assert find(near, far) == {'near': 100}

    def test_one_with_room(self):
        """A request is not refused while any of the targets is free."""
        far = [
            make_found(f'far-{each}', load=FULL, is_far=True)
            for each in range(30)
        ]
        near = [make_found(f'near-{each}', load=FULL) for each in range(7)]
        free = make_found('free', load=4, is_far=True)
        assert find(*near, *far, free) == {'free': 100}

    def test_one_slot(self):
        """An idle target of one slot elsewhere is free.

        A reserve of part of its slot would leave it idle for ever.
        """
        near, far = (
            make_found(name, load=load, is_far=bool(far), slots=1)
            for name, load, far in (('near', 4, 0), ('far', 0, 1))
        )
        assert find(near, far) == {'far': 100}

    def test_failing(self):
        """A near target that fails is not preferred to a sound one."""
        silent = make_found('silent', silent=True)
        assert find(silent, make_found('far', load=6, is_far=True)) == {
            'far': 100
        }


class TestComputeCost:
    """Cost of a target, in seconds."""

    def test_long_pause(self):
        """A target whose passes make streams late is a bad choice."""
        slow = make_found('a', pace=3.9)
        uncertain = dataclasses.replace(slow, cautious_pace=9)
        costs = [
            compute_cost(found, DEMAND, TRANSFER)
            for found in (slow, uncertain, make_found('b', pace=9))
        ]
        assert costs[2] > costs[0] + 0.5
        assert costs[1] == pytest.approx(costs[0] + LONG_PAUSE_SECONDS)

    def test_last_slot(self):
        """The last free slot may be taken already, the first not."""
        costs = [
            compute_cost(make_found('a', load=load), DEMAND, TRANSFER)
            for load in (4, 9, 14)
        ]
        assert costs[2] - costs[1] > 2 * (costs[1] - costs[0])

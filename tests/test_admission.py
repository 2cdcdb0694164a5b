"""Tests of :mod:`ragwortcourse.forwarding.admission`."""

import random

import pytest

from fakes.fleet_parts import ENGINE_RULES
from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    choose_retry_after,
    estimate_slot_interval,
    estimate_start_seconds,
    foresee_wait,
    is_admitted,
)

OBJECTIVE = 0.4


def make_place(load: float, starting: float = 0) -> TargetOccupancy:
    """An engine with some requests."""
    return TargetOccupancy(
        load=load, unanswered=starting, slots=16, engine=ENGINE_RULES
    )


def make_demand(time_left: float = OBJECTIVE) -> Demand:
    """A usual request."""
    return Demand(prompt_tokens=977, time_left=time_left)


class TestForeseen:
    """What is foreseen of a start."""

    def test_free_slot(self):
        """Nobody waits while a slot is free."""
        assert foresee_wait(make_place(15)) == 0

    def test_each_one_ahead(self):
        """Each request beyond the slots waits for one more end."""
        one = foresee_wait(make_place(16))
        assert one == pytest.approx(estimate_slot_interval(make_place(16)))
        assert foresee_wait(make_place(18)) == pytest.approx(3 * one)

    def test_turnover_of_an_engine(self):
        """A full engine ends a request as often as it reads and writes one."""
        reading = 977 / 19_100
        writing = 94 * (0.00887 + 16 * 0.0000388) / 16
        assert estimate_slot_interval(make_place(16)) == pytest.approx(
            reading + writing
        )

    def test_unread_prompts(self):
        """Prompts that others have sent before hold up a start."""
        alone = estimate_start_seconds(make_place(4), make_demand())
        assert (
            estimate_start_seconds(make_place(4, starting=3), make_demand())
            > alone
        )

    def test_plain_service(self):
        """A plain service starts as fast as it answered of late."""
        place = TargetOccupancy(load=1, slots=6, latency=0.09)
        assert estimate_start_seconds(place, make_demand()) == 0.09
        assert foresee_wait(TargetOccupancy(load=6, slots=6, latency=0.09)) == (
            pytest.approx(0.015)
        )


class TestIsAdmitted:
    """Who is sent now."""

    def test_room(self):
        """A request with a free slot and time is sent."""
        assert is_admitted(make_place(8), make_demand())

    def test_no_time(self):
        """A request that would start late is not sent."""
        assert not is_admitted(make_place(20), make_demand())

    def test_long_prompt(self):
        """A long prompt is not refused while there is no crowd.

        It would be late everywhere, and be refused each time it came back.
        """
        long = Demand(prompt_tokens=6000, time_left=OBJECTIVE)
        assert is_admitted(make_place(8, starting=2), long)
        assert not is_admitted(make_place(15, starting=2), long)

    def test_idle_target(self):
        """A request that takes long even alone is sent to an idle target."""
        assert is_admitted(make_place(0), make_demand(time_left=0.01))

    def test_late_request_leaves_slots(self):
        """One that is late already leaves slots for new ones."""
        late = make_demand(time_left=-1)
        assert is_admitted(make_place(10), late)
        assert not is_admitted(make_place(14), late)
        assert is_admitted(make_place(12), make_demand(time_left=0.5))

    def test_burst_replayed(self):
        """In a burst of twice the capacity the admitted ones start in time.

        Without admission the queue of the engine would make nearly all of
        them late.
        """
        outcomes = replay_burst(with_admission=True)
        without = replay_burst(with_admission=False)
        assert outcomes.count(True) > 2 * without.count(True)
        admitted = [each for each in outcomes if each is not None]
        assert outcomes.count(True) >= 0.9 * len(admitted)


def replay_burst(*, with_admission: bool) -> list[bool | None]:
    """Four seconds at one engine: started in time, late, or not sent."""
    rng = random.Random(3)
    turnover = estimate_slot_interval(make_place(16))
    now, free_at = 0.0, [0.0] * 16
    last_end = 0.0
    outcomes: list[bool | None] = []
    while now < 4:
        now += rng.expovariate(2 / turnover)
        load = sum(end > now for end in free_at)
        place = make_place(load)
        if with_admission and not is_admitted(place, make_demand()):
            outcomes.append(None)
            continue
        slot = sorted(free_at)[-16] if load >= 16 else now
        start = max(now, slot)
        last_end = max(last_end + turnover, start + 16 * turnover / 2)
        free_at.append(last_end)
        begun = start + estimate_start_seconds(place, make_demand())
        outcomes.append(begun - now <= OBJECTIVE)
    return outcomes


class TestChooseReturn:
    """When refused callers come back."""

    def test_within_what_callers_honour(self):
        """No caller is told more than a third of what it has left."""
        assert choose_retry_after(time_left=3, chance=0) <= 1

    def test_bounded(self):
        """A caller with much time comes back within seconds."""
        assert choose_retry_after(time_left=600, chance=0) == 2

    def test_spread(self):
        """Callers refused together come back one after the other."""
        times = {
            choose_retry_after(time_left=6, chance=at / 10) for at in range(10)
        }
        assert len(times) == 10
        assert max(times) >= 1.5 * min(times)

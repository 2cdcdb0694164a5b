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
    estimate_wait,
    is_admitted,
)

OBJECTIVE = 0.4


def make_place(load: float, unanswered: float = 0) -> TargetOccupancy:
    """Build the occupancy of an engine with some requests."""
    return TargetOccupancy(
        load=load, unanswered=unanswered, slots=16, engine=ENGINE_RULES
    )


def make_demand(time_left: float = OBJECTIVE) -> Demand:
    """Build the demand of a request with a prompt of mean length."""
    return Demand(prompt_tokens=977, time_left=time_left)


class TestForeseen:
    """Estimates of when a request starts."""

    def test_free_slot(self):
        """A request does not wait while a slot is free."""
        assert estimate_wait(make_place(15)) == 0

    def test_each_one_ahead(self):
        """Each request beyond the slots adds one completion to the wait."""
        one = estimate_wait(make_place(16))
        assert one == pytest.approx(estimate_slot_interval(make_place(16)))
        assert estimate_wait(make_place(18)) == pytest.approx(3 * one)

    def test_turnover_of_an_engine(self):
        """The completion interval of a full engine is prefill plus decode."""
        reading = 977 / 19_100
        writing = 94 * (0.00887 + 16 * 0.0000388) / 16
        assert estimate_slot_interval(make_place(16)) == pytest.approx(
            reading + writing
        )

    def test_unread_prompts(self):
        """Unprocessed prompts of other requests delay a start."""
        alone = estimate_start_seconds(make_place(4), make_demand())
        assert (
            estimate_start_seconds(make_place(4, unanswered=3), make_demand())
            > alone
        )

    def test_plain_service(self):
        """The estimate for a plain service is its recent latency."""
        place = TargetOccupancy(load=1, slots=6, latency=0.09)
        assert estimate_start_seconds(place, make_demand()) == 0.09
        assert estimate_wait(
            TargetOccupancy(load=6, slots=6, latency=0.09)
        ) == (pytest.approx(0.015))


class TestIsAdmitted:
    """Decision to send a request now."""

    def test_room(self):
        """A request is sent if a slot is free and time is left."""
        assert is_admitted(make_place(8), make_demand())

    def test_no_time(self):
        """A request that would start late is not sent."""
        assert not is_admitted(make_place(20), make_demand())

    def test_long_prompt(self):
        """A long prompt is not refused while the target is not overloaded.

        The request would be late at every target and be refused again at
        each retry.
        """
        long = Demand(prompt_tokens=6000, time_left=OBJECTIVE)
        assert is_admitted(make_place(8, unanswered=2), long)
        assert not is_admitted(make_place(15, unanswered=2), long)

    def test_idle_target(self):
        """An idle target gets a request even if the start will be late."""
        assert is_admitted(make_place(0), make_demand(time_left=0.01))

    def test_late_request_leaves_slots(self):
        """A late request leaves slots for new requests."""
        late = make_demand(time_left=-1)
        assert is_admitted(make_place(10), late)
        assert not is_admitted(make_place(14), late)
        assert is_admitted(make_place(12), make_demand(time_left=0.5))

    def test_burst_replayed(self):
        """In a burst of twice the capacity, admitted requests start in time.

        Without admission control the queue of the engine makes nearly all
        requests late.
        """
        outcomes = replay_burst(with_admission=True)
        without = replay_burst(with_admission=False)
        assert outcomes.count(True) > 2 * without.count(True)
        admitted = [each for each in outcomes if each is not None]
        assert outcomes.count(True) >= 0.9 * len(admitted)


def replay_burst(*, with_admission: bool) -> list[bool | None]:
    """Simulate four seconds of a burst at one engine.

    :return: for each request true if started in time, false if late, none if
        not sent.
    """
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
    """Retry-After of refused callers."""

    def test_within_what_callers_honour(self):
        """The retry time is at most a third of the caller's remaining time."""
        assert choose_retry_after(time_left=3, chance=0) <= 1

    def test_bounded(self):
        """A caller with much time left is told to retry within seconds."""
        assert choose_retry_after(time_left=600, chance=0) == 2

    def test_spread(self):
        """Jitter spreads the retries of callers refused together."""
        times = {
            choose_retry_after(time_left=6, chance=at / 10) for at in range(10)
        }
        assert len(times) == 10
        assert max(times) >= 1.5 * min(times)

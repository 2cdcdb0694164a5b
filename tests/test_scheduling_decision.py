"""Tests of the pure decisions of :mod:`ragwortcourse.forwarding.scheduling`."""

import dataclasses

import pytest

from fakes.contended_fleet import PROFILE, SLOTS
from fakes.fleet_parts import ENGINES, LOOKUP, PLAIN, make_desired, make_route
from ragwortcourse.forwarding.admission import (
    Demand,
    TargetOccupancy,
    is_admitted,
)
from ragwortcourse.forwarding.scheduling.activation import is_scheduled
from ragwortcourse.forwarding.scheduling.decision import is_sent_now
from ragwortcourse.forwarding.scheduling.guaranteed_share import (
    GuaranteedShare,
)
from ragwortcourse.forwarding.scheduling.reservation import (
    MAX_RESERVED_SHARE,
    count_reserved,
)

URGENT = Demand(prompt_tokens=1290, time_left=0.406)
RATES = (4.3, 5.2, 3.4)
# Users require a quarter of how often all requests are served.
REQUIRED_SHARE = 0.25


def make_place(load: float, unanswered: float) -> TargetOccupancy:
    """Build the occupancy of an engine."""
    return TargetOccupancy(
        load=load, unanswered=unanswered, slots=SLOTS, engine=PROFILE
    )


class TestIsScheduled:
    """Services for which urgency counts."""

    def test_priorities_of_one_service(self):
        """Equal priorities, or different ones elsewhere, change nothing."""
        urgent = make_route(name='urgent', prefix='/urgent/', priority=0)
        other = dataclasses.replace(LOOKUP, priority=2)
        desired = make_desired(urgent, make_route(), other)
        assert not is_scheduled(desired, ENGINES)
        assert not is_scheduled(desired, PLAIN)
        desired = make_desired(urgent, make_route(priority=1), other)
        assert is_scheduled(desired, ENGINES)
        assert not is_scheduled(desired, PLAIN)
        assert is_scheduled(desired, PLAIN, reports_pace=True)


class TestIsSentNow:
    """Decision to send a request now."""

    def test_overtakes_the_less_urgent(self):
        """Less urgent requests in an engine's queue delay no urgent one."""
        place = make_place(SLOTS + 6, unanswered=8)
        assert not is_admitted(place, URGENT)
        assert is_sent_now(place, URGENT, urgent=2, reserved=0)

    def test_behind_the_as_urgent(self):
        """Urgent requests are not sent to a queue of urgent ones."""
        place = make_place(SLOTS + 6, unanswered=8)
        assert not is_sent_now(place, URGENT, urgent=8, reserved=0)

    def test_reserved(self):
        """The last slots are kept for more urgent requests."""
        place = make_place(SLOTS - 2, unanswered=1)
        assert is_sent_now(place, URGENT, urgent=1, reserved=1)
        assert not is_sent_now(place, URGENT, urgent=1, reserved=2)

    def test_full_queue(self):
        """No urgent request is sent to an engine that would decline it."""
        place = make_place(SLOTS * 2, unanswered=SLOTS)
        assert not is_sent_now(place, URGENT, urgent=0, reserved=0)

    @pytest.mark.parametrize('load', range(SLOTS))
    def test_free_slot(self, load):
        """While a slot is free, urgency makes no request start sooner."""
        place = make_place(load, unanswered=load / 2)
        decided = is_sent_now(place, URGENT, urgent=1, reserved=0)
        assert decided == is_admitted(place, URGENT)


class TestCountReserved:
    """Slots that are kept for more urgent requests."""

    def reserve(self, urgency: int, rates=RATES, **changes) -> int:
        """Count the slots that a request leaves free."""
        return count_reserved(
            rates=rates,
            urgency=urgency,
            slots=SLOTS,
            slot_interval=0.11,
            **changes,
        )

    def test_less_urgent_leave_more(self):
        """The most urgent leave nothing, the others what is needed."""
        assert self.reserve(0) == 0
        assert 0 < self.reserve(1) < self.reserve(2)

    def test_bounded(self):
        """An overestimated rate does not keep all slots."""
        assert self.reserve(2, (1e6, 1e6, 0)) <= SLOTS * MAX_RESERVED_SHARE

    def test_ended(self):
        """The rest of a rate that decays keeps no slot.

        A daemon that hears nobody knows too little to keep none.
        """
        rates = (0.3, 0.3, 0)
        assert self.reserve(2, rates) == 0
        assert self.reserve(2, rates, is_unheard=True) == 1


class TestGuaranteedShare:
    """Guaranteed shares of priorities and accounts."""

    @pytest.mark.parametrize('starved', [2, 'account'])
    def test_starved_kind(self, starved):
        """A kind that is never sent for its urgency gets its share."""
        shares = GuaranteedShare()
        sent = {0: 0, starved: 0}
        for step in range(1200):
            for kind in (0, 0, starved):
                shares.note_arrival([kind], step * 0.1)
                if kind == 0 or shares.is_due([kind]):
                    shares.note_sent([kind], step * 0.1)
                    sent[kind] += 1
        served = (sent[0] + sent[starved]) / 3600
        assert sent[starved] / 1200 >= REQUIRED_SHARE * served
        assert sent[starved] / 1200 < 0.5 * served

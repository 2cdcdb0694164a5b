"""Tests of :mod:`ragwortcourse.forwarding.scheduling.fleet_demand`."""

import msgspec
import pytest

from fakes.fleet_parts import ENGINES
from ragwortcourse.forwarding.load_messages import LoadMessage
from ragwortcourse.forwarding.scheduling.fleet_demand import (
    FleetDemand,
    estimate_rates,
)
from ragwortcourse.forwarding.scheduling.own_demand import OwnDemand
from ragwortcourse.forwarding.scheduling.service_demand import ServiceDemand

RATES = [2, 1, 0.5, 0.25]
DEMAND = {ENGINES: ServiceDemand(rates=RATES, waiting=[0, 1, 0, 0, 0])}
DAEMONS = 37
# Bytes of a datagram that the demand on one service may add.
MAX_BYTES = 64


def estimate(fleet: FleetDemand, now: float) -> list[float]:
    """Estimate the rates of a fleet whose daemons are all alike."""
    return estimate_rates(
        recent=RATES,
        steady=RATES,
        others=fleet.sum(ENGINES, now),
        daemons=DAEMONS,
    )


class TestEstimateRates:
    """Rates of all daemons as one of them estimates them."""

    @pytest.mark.parametrize('heard', [0, 5, DAEMONS - 1])
    def test_lost_messages(self, heard):
        """Lost messages neither hide demand nor count it twice."""
        fleet = FleetDemand()
        for number in range(heard):
            fleet.note(f'e-{number}', DEMAND, 1)
        assert estimate(fleet, 1) == pytest.approx(
            [DAEMONS * rate for rate in RATES]
        )

    def test_dead_daemons(self):
        """The demand at a daemon that sends nothing any more expires."""
        fleet = FleetDemand()
        fleet.note('e-1', DEMAND, 1)
        assert fleet.sum(ENGINES, 2.4).daemons == 1
        assert fleet.sum(ENGINES, 2.6).daemons == 0


class TestOwnDemand:
    """Rates of the own callers."""

    def test_ended(self):
        """Demand that has ended is forgotten within two seconds."""
        demand = OwnDemand()
        for step in range(100):
            demand.note_arrival(0, step * 0.1)
        assert demand.read_recent(9.9)[0] == pytest.approx(10, rel=0.2)
        assert demand.read_recent(11.9)[0] < 1


class TestMessage:
    """Demand in load messages."""

    def test_bytes(self):
        """The demand adds little, and nothing where it is not measured."""
        usual = msgspec.json.encode(LoadMessage(daemon='e-1', counts={}))
        assert b'demand' not in usual
        with_demand = LoadMessage(daemon='e-1', counts={}, demand=DEMAND)
        assert len(msgspec.json.encode(with_demand)) < len(usual) + MAX_BYTES

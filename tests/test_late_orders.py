"""Orders that an engine follows after its agent gave them up."""

import asyncio
import dataclasses
import random

import pytest

from fakes.landings import MODEL, LandingFleet, LandingHost
from ragwortcourse.engines.engine import (
    OrderAction,
    OrderConfirmed,
    OrderUnknown,
)
from ragwortcourse.identifiers import VersionName
from ragwortcourse.weights.order_lease import LONGEST_ORDER_SECONDS
from ragwortcourse.weights.orders import OrderSubject, order_engine

pytestmark = pytest.mark.looptime
CONTENT = random.Random(1).randbytes(3000)
OTHER = CONTENT[::-1]
V1 = OrderSubject(model=MODEL, version=VersionName('v1'))
V2 = OrderSubject(model=MODEL, version=VersionName('v2'))
# After the agent stopped waiting for an answer.
LATE_SECONDS = LONGEST_ORDER_SECONDS + 10


def make_pair(*, checks: bool) -> tuple[LandingHost, LandingHost]:
    """Make two agents of one engine that holds two versions."""
    fleet = LandingFleet(
        hosts=2, regions_by_domain={'a': 'r'}, checks_fencing=checks
    )
    first, second = fleet.hosts.values()
    lease = second.agent_weights.order_lease
    lease._key = first.agent_weights.order_lease._key
    second.agent_weights.ports = dataclasses.replace(
        second.agent_weights.ports, engine=first.engine.build()
    )
    for subject in (V2, V1):
        first.engine.versions.install(subject.model, subject.version)
    return first, second


@pytest.mark.parametrize('checks', [True, False])
class TestLateOrder:
    """An order without an answer, and the orders after it."""

    async def test_followed_after_the_next_order(self, checks):
        """The agent's next order stands."""
        host, _ = make_pair(checks=checks)
        host.engine.faults.late_orders = {OrderAction.ACTIVATE: LATE_SECONDS}
        first = await order_engine(host.agent_weights, OrderAction.ACTIVATE, V2)
        second = await order_engine(
            host.agent_weights, OrderAction.ACTIVATE, V1
        )
        await asyncio.sleep(LATE_SECONDS)
        assert isinstance(first, OrderUnknown)
        assert isinstance(second, OrderConfirmed)
        assert host.engine.versions.active == {MODEL: 'v1'}

    async def test_cancelled_and_followed_after_the_next_order(self, checks):
        """An order that a change of the configuration cancels counts too."""
        host, _ = make_pair(checks=checks)
        host.engine.faults.late_orders = {OrderAction.ACTIVATE: 10}
        ordering = asyncio.create_task(
            order_engine(host.agent_weights, OrderAction.ACTIVATE, V2)
        )
        await asyncio.sleep(1)
        ordering.cancel()
        await asyncio.gather(ordering, return_exceptions=True)
        await order_engine(host.agent_weights, OrderAction.ACTIVATE, V1)
        await asyncio.sleep(LATE_SECONDS)
        assert host.engine.versions.active == {MODEL: 'v1'}

    async def test_followed_after_an_order_of_the_next_agent(self, checks):
        """A restarted agent's order stands."""
        host, successor = make_pair(checks=checks)
        host.engine.faults.late_orders = {OrderAction.ACTIVATE: LATE_SECONDS}
        await order_engine(host.agent_weights, OrderAction.ACTIVATE, V2)
        await order_engine(successor.agent_weights, OrderAction.ACTIVATE, V1)
        await asyncio.sleep(LATE_SECONDS)
        assert host.engine.versions.active == {MODEL: 'v1'}

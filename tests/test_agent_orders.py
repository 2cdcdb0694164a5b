"""Orders that an engine follows after its agent gave them up."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

import pytest

from fakes.landings import MODEL, LandingFleet, LandingHost
from ragwortcourse.configuration.deployment import Adapter
from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.engines.engine import (
    EngineOrder,
    OrderAction,
    OrderConfirmed,
    OrderOutcome,
    OrderRefused,
    OrderUnknown,
)
from ragwortcourse.identifiers import AdapterName, VersionName
from ragwortcourse.weights.order_lease import LONGEST_ORDER_SECONDS
from ragwortcourse.weights.orders import OrderSubject, order_engine

pytestmark = pytest.mark.looptime
CONTENT = random.Random(1).randbytes(3000)
OTHER = CONTENT[::-1]
V1 = OrderSubject(model=MODEL, version=VersionName('v1'))
V2 = OrderSubject(model=MODEL, version=VersionName('v2'))
# After the agent stopped waiting for an answer.
LATE_SECONDS = LONGEST_ORDER_SECONDS + 5


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


async def watch(fleet: LandingFleet, seconds: float) -> list[str]:
    """List the versions that were admitted while another one was active."""
    wrong = []
    for _ in range(int(seconds / 0.1)):
        await asyncio.sleep(0.1)
        for host in fleet.hosts.values():
            active = set(host.engine.versions.active.items())
            admitted = {
                (served.model, served.version)
                for served in host.agent_weights.served.versions
            }
            wrong.extend(version for _, version in admitted - active)
    return wrong


@pytest.mark.parametrize('checks', [True, False])
class TestAdmission:
    """Requests while an order without an answer may still be followed."""

    async def start_fleet(self, *, checks: bool) -> LandingFleet:
        """Start two hosts and wait until they serve the first version."""
        fleet = LandingFleet(
            hosts=2, regions_by_domain={'a': 'r'}, checks_fencing=checks
        )
        fleet.deploy('v1', fleet.publish('v1', CONTENT))
        fleet.start()
        await fleet.wait_for('v1', seconds=60)
        return fleet

    async def order_late(
        self, fleet: LandingFleet, action: OrderAction, seconds: float
    ) -> None:
        """Let each engine follow its next order of an action late."""
        for host in fleet.hosts.values():
            host.engine.faults.late_orders = {action: seconds}

    async def test_activated_after_it_was_given_up(self, checks):
        """The former version is not admitted again before that is over."""
        fleet = await self.start_fleet(checks=checks)
        await self.order_late(fleet, OrderAction.ACTIVATE, LATE_SECONDS)
        fleet.deploy('v2', fleet.publish('v2', OTHER))
        assert not await watch(fleet, 200)
        assert fleet.count_serving('v2') == 2
        await fleet.stop()

    async def test_activated_after_a_roll_back(self, checks):
        """A configuration that goes back cancels the order on its way."""
        fleet = await self.start_fleet(checks=checks)
        await self.order_late(fleet, OrderAction.ACTIVATE, 15)
        fleet.deploy('v2', fleet.publish('v2', OTHER), batch=2)
        wrong = await watch(fleet, 10)
        assert fleet.count_serving('v1') == 0
        fleet.deploy('v1', fleet.publish('v1', CONTENT), batch=2)
        assert not wrong + await watch(fleet, 200)
        assert fleet.count_serving('v1') == 2
        await fleet.stop()

    async def test_unloaded_after_the_deployment_is_back(self, checks):
        """A deployment that is removed and named again keeps its weights."""
        fleet = await self.start_fleet(checks=checks)
        await self.order_late(fleet, OrderAction.UNLOAD, 15)
        document = fleet.document
        fleet.accept(())
        wrong = await watch(fleet, 2)
        fleet.accept(document.configuration.models)
        assert not wrong + await watch(fleet, 200)
        assert fleet.count_serving('v1') == 2
        await fleet.stop()

    async def test_engine_that_restarts_empty_before_it_is_admitted(
        self, checks
    ):
        """A state from before the restart admits nothing.

        The agent starts beside an engine that serves the version, and orders
        its role first.
        """
        fleet = LandingFleet(
            hosts=1, regions_by_domain={'a': 'r'}, checks_fencing=checks
        )
        (host,) = fleet.hosts.values()
        host.engine.versions.install(V1.model, V1.version)
        restart_at_order(host, OrderAction.ROLE, is_empty=True)
        digest = fleet.publish('v1', CONTENT)
        fleet.deploy('v1', digest, role=EngineRole.DECODE)
        fleet.start()
        assert not await watch(fleet, 60)
        assert host.engine.crashes == 1
        assert fleet.count_serving('v1') == 1
        await fleet.stop()


class TestAdapter:
    """Adapters whose orders get no answer."""

    async def test_former_adapter_is_not_taken_for_the_next(self):
        """The state names adapters without their versions.

        The engine refuses to unload the former one, and the order to load the
        next one is lost on its way.
        """
        fleet = LandingFleet(hosts=1, regions_by_domain={'a': 'r'})
        model = fleet.publish('v1', CONTENT)
        former = make_adapter(fleet, 'a1', CONTENT[:1000])
        fleet.deploy('v1', model, adapters=(former,))
        fleet.start()
        await asyncio.sleep(60)
        (host,) = fleet.hosts.values()
        drop_orders(
            host,
            {
                OrderAction.UNLOAD: OrderRefused(detail='busy'),
                OrderAction.LOAD: OrderUnknown(detail='the connection broke'),
            },
        )
        following = make_adapter(fleet, 'a2', OTHER[:1000])
        fleet.deploy('v1', model, adapters=(following,))
        loaded = host.engine.versions.orders[:]
        await asyncio.sleep(120)
        assert fleet.count_serving('v1', 'tone') == 1
        later = host.engine.versions.orders[len(loaded) :]
        assert OrderAction.LOAD in [order.action for order in later]
        await fleet.stop()

    async def test_former_adapter_of_an_engine_that_restarts(self):
        """A version that is served again comes without lost adapters.

        The engine restarts at the order to activate the next version.
        """
        fleet = LandingFleet(hosts=1, regions_by_domain={'a': 'r'})
        adapter = make_adapter(fleet, 'a1', CONTENT[:1000])
        fleet.deploy('v1', fleet.publish('v1', CONTENT), adapters=(adapter,))
        fleet.start()
        await asyncio.sleep(60)
        (host,) = fleet.hosts.values()
        held_before = fleet.count_serving('v1', 'tone')
        restart_at_order(host, OrderAction.ACTIVATE)
        fleet.deploy('v2', fleet.publish('v2', OTHER))
        while not host.engine.crashes:  # no event
            await asyncio.sleep(0.1)
        served = host.agent_weights.served
        while not served.versions:
            await asyncio.sleep(0.1)
        assert held_before == 1
        assert served.allows(MODEL, V1.version, None)
        assert not served.allows(MODEL, V1.version, adapter.name)
        await fleet.stop()

    async def test_late_write_of_a_former_adapter(self):
        """Chunks of a former adapter that come late are not loaded.

        The engine keeps chunks by name. It checks the digest of the whole
        that the order names.
        """
        fleet = LandingFleet(hosts=1, regions_by_domain={'a': 'r'})
        model = fleet.publish('v1', CONTENT)
        former = make_adapter(fleet, 'a1', CONTENT[:1000])
        fleet.deploy('v1', model, adapters=(former,))
        fleet.start()
        await asyncio.sleep(60)
        (host,) = fleet.hosts.values()
        outcomes: list[OrderOutcome] = []

        async def order(given: EngineOrder) -> OrderOutcome:
            if given.action is OrderAction.LOAD and len(outcomes) == 1:
                key = (MODEL, V1.version, former.name)
                host.engine.versions.store(key, 0, CONTENT[:1000])
            outcomes.append(await host.engine.order(given))
            return outcomes[-1]

        set_order(host, order)
        following = make_adapter(fleet, 'a2', OTHER[:1000])
        fleet.deploy('v1', model, adapters=(following,))
        await asyncio.sleep(60)
        refused = [isinstance(each, OrderRefused) for each in outcomes]
        assert refused == [False, True, False, False]
        assert fleet.count_serving('v1', 'tone') == 1
        await fleet.stop()


def restart_at_order(
    host: LandingHost, action: OrderAction, *, is_empty: bool = False
) -> None:
    """Let the engine restart when it gets the next order of an action.

    :param is_empty: it comes back with the role, and without any version.
    """

    async def order(given: EngineOrder) -> OrderOutcome:
        if given.action is not action or host.engine.crashes:
            return await host.engine.order(given)
        if is_empty:
            host.engine.versions.active.clear()
        host.engine.die(downtime=0)
        if is_empty:
            return await host.engine.order(given)
        return OrderUnknown(detail='the connection broke')

    set_order(host, order)


def make_adapter(fleet: LandingFleet, version: str, content: bytes) -> Adapter:
    """Publish a version of an adapter."""
    return Adapter(
        name=AdapterName('tone'),
        version=VersionName(version),
        manifest_sha256=fleet.publish(version, content, name='tone'),
    )


def drop_orders(
    host: LandingHost, outcomes: dict[OrderAction, OrderOutcome]
) -> None:
    """Let the next order of each action have an outcome and no effect."""

    async def order(given: EngineOrder) -> OrderOutcome:
        if given.action in outcomes:
            return outcomes.pop(given.action)
        return await host.engine.order(given)

    set_order(host, order)


def set_order(
    host: LandingHost, order: Callable[[EngineOrder], Awaitable[OrderOutcome]]
) -> None:
    """Replace the call of an engine that takes orders."""
    ports = host.agent_weights.ports
    engine = dataclasses.replace(ports.engine, order=order)
    host.agent_weights.ports = dataclasses.replace(ports, engine=engine)

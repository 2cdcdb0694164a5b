"""Tests of :mod:`ragwortcourse.weights.roles`."""

import asyncio
import dataclasses
import random

import pytest

from fakes.landings import LandingFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.engine_role import EngineRole
from ragwortcourse.configuration.toml_parsing import parse_configuration
from ragwortcourse.engines.engine import (
    EngineOrder,
    OrderAction,
    OrderOutcome,
)
from ragwortcourse.weights.order_lease import LEASE_SECONDS, OrderLease
from ragwortcourse.weights.roles import RETRY_SECONDS
from ragwortcourse.weights.rollout_lease import LEASE_SECONDS as ROLLOUT_SECONDS

pytestmark = pytest.mark.looptime
CONTENT = random.Random(1).randbytes(5000)


async def start_fleet(*, checks: bool, reports: bool = True) -> LandingFleet:
    """Start three hosts and wait until they serve a version without a role.

    :param checks: whether engines check fencing numbers.
    :param reports: whether engines report their role.
    """
    fleet = LandingFleet(
        hosts=3, regions_by_domain={'a': 'r'}, checks_fencing=checks
    )
    for host in fleet.hosts.values():
        host.engine.versions.reports_role = reports
    fleet.deploy('v1', fleet.publish('v1', CONTENT))
    fleet.start()
    await fleet.wait_for('v1', seconds=60)
    return fleet


def list_roles(fleet: LandingFleet) -> list[str | None]:
    """List the role of each engine."""
    return [host.engine.versions.role for host in fleet.hosts.values()]


def count_orders(fleet: LandingFleet) -> list[int]:
    """Count the role orders that each engine followed."""
    return [
        sum(order.action is OrderAction.ROLE for order in each)
        for each in (
            host.engine.versions.orders for host in fleet.hosts.values()
        )
    ]


class TestRole:
    """Roles that a deployment names."""

    @pytest.mark.parametrize('reports', [True, False])
    @pytest.mark.parametrize('checks', [True, False])
    async def test_is_ordered_once(self, checks: bool, reports: bool):
        """Every engine is ordered once, even if it does not report a role."""
        fleet = await start_fleet(checks=checks, reports=reports)
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        await asyncio.sleep(120)
        assert list_roles(fleet) == ['decode'] * 3
        assert count_orders(fleet) == [1, 1, 1]
        assert fleet.count_serving('v1') == 3
        await fleet.stop()

    async def test_comes_before_the_first_answer(self):
        """A new target serves no version before its engine has the role."""
        fleet = LandingFleet(hosts=2, regions_by_domain={'a': 'r'})
        digest = fleet.publish('v1', CONTENT)
        fleet.deploy('v1', digest, role=EngineRole.PREFILL)
        fleet.start()
        await fleet.wait_for('v1', seconds=60)
        assert list_roles(fleet) == ['prefill'] * 2
        await fleet.stop()

    async def test_download_longer_than_the_pause_between_orders(self):
        """An engine that got its role before a long download is not drained.

        It had another role when the agent started.
        """
        fleet = LandingFleet(hosts=1, regions_by_domain={'a': 'r'}, rate=10)
        (host,) = fleet.hosts.values()
        host.engine.versions.role = 'prefill'
        digest = fleet.publish('v1', CONTENT)
        fleet.deploy('v1', digest, role=EngineRole.DECODE)
        fleet.start()
        took = await fleet.wait_for('v1', seconds=1200)
        lowest = 1
        for _ in range(100):
            await asyncio.sleep(0.25)
            lowest = min(lowest, fleet.count_serving('v1'))
        assert took > RETRY_SECONDS
        assert (count_orders(fleet), lowest) == ([1], 1)
        assert not host.agent_weights.state.detail
        await fleet.stop()

    async def test_changes_under_no_request(self):
        """Running requests end first, and only one batch leaves service."""
        fleet = await start_fleet(checks=True)
        fleet.running.update(dict.fromkeys(fleet.hosts, 1))
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        lowest = 3
        for _ in range(80):
            await asyncio.sleep(0.25)
            lowest = min(lowest, fleet.count_serving('v1'))
        assert count_orders(fleet) == [0, 0, 0]
        fleet.running.clear()
        for _ in range(480):
            await asyncio.sleep(0.25)
            lowest = min(lowest, fleet.count_serving('v1'))
        assert list_roles(fleet) == ['decode'] * 3
        assert (lowest, fleet.count_serving('v1')) == (2, 3)
        await fleet.stop()

    @pytest.mark.parametrize('reports', [True, False])
    async def test_lost_answer_is_settled(self, reports: bool):
        """Targets have the role and serve after an order's answer is lost."""
        fleet = await start_fleet(checks=True, reports=reports)
        for host in fleet.hosts.values():
            host.engine.faults.lost_orders = 1
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        await asyncio.sleep(1200)
        assert list_roles(fleet) == ['decode'] * 3
        assert fleet.count_serving('v1') == 3
        assert max(count_orders(fleet)) <= (1 if reports else 2)
        await fleet.stop()

    @pytest.mark.parametrize('reports', [True, False])
    @pytest.mark.parametrize('checks', [True, False])
    async def test_roll_back_after_an_order_without_answer(
        self, checks: bool, reports: bool
    ):
        """An engine has the former role again if its deployment goes back.

        It followed the order to change late, and did not answer it.
        """
        fleet = await start_fleet(checks=checks, reports=reports)
        digest = fleet.publish('v1', CONTENT)
        fleet.deploy('v1', digest, role=EngineRole.PREFILL, batch=3)
        # An engine that serves is not drained for a role again before that.
        await asyncio.sleep(RETRY_SECONDS + 60)
        for host in fleet.hosts.values():
            host.engine.faults.late_orders = {OrderAction.ROLE: 10}
        fleet.deploy('v1', digest, role=EngineRole.DECODE, batch=3)
        await asyncio.sleep(8)
        fleet.deploy('v1', digest, role=EngineRole.PREFILL, batch=3)
        await asyncio.sleep(1200)
        assert list_roles(fleet) == ['prefill'] * 3
        assert fleet.count_serving('v1') == 3
        await fleet.stop()

    async def test_is_ordered_again_after_a_restart(self):
        """A restarted engine is ordered again."""
        fleet = await start_fleet(checks=True)
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        await asyncio.sleep(60)
        host = next(iter(fleet.hosts.values()))
        host.engine.versions.role = None
        host.engine.die()
        await asyncio.sleep(60)
        assert list_roles(fleet) == ['decode'] * 3
        await fleet.stop()

    @pytest.mark.parametrize('checks', [True, False])
    async def test_frozen_holder_orders_nothing(self, checks: bool):
        """An agent whose target was taken over sends no order."""
        fleet = await start_fleet(checks=checks)
        name, host = next(iter(fleet.hosts.items()))
        other = fleet.add_host('twin', 'a')
        other.agent_weights.order_lease._key = (
            host.agent_weights.order_lease._key
        )
        await other.agent_weights.order_lease.acquire()
        await asyncio.sleep(LEASE_SECONDS)
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        await asyncio.sleep(60)
        assert host.engine.versions.role is None, name
        assert host.agent_weights.order_lease.superseded
        await fleet.stop()

    async def test_turn_that_lapses_before_the_order(self):
        """An engine is not ordered once another target may have the turn.

        The agent waits for running requests, then for the order lease of a
        former agent, together longer than the roll-out lease.
        """
        fleet = await start_fleet(checks=False)
        name, host = next(iter(fleet.hosts.items()))
        weights = host.agent_weights
        former = weights.order_lease
        await former.acquire()
        weights.order_lease = OrderLease(
            table=weights.ports.table,
            target=weights.agent.target,
            checks_fencing=False,
            rng=random.Random(2),
        )
        order = weights.ports.engine.order
        turns: dict[bytes, float] = {}
        lapsed: list[bool] = []

        async def note_order(given: EngineOrder) -> OrderOutcome:
            if given.action is OrderAction.ROLE:
                lapsed.append(
                    not any(
                        name.encode() in row
                        and read_clock() - turns[row] < ROLLOUT_SECONDS
                        for row in list_turns(fleet)
                    )
                )
            return await order(given)

        weights.ports = dataclasses.replace(
            weights.ports,
            engine=dataclasses.replace(weights.ports.engine, order=note_order),
        )
        fleet.running[name] = 1
        fleet.deploy('v1', fleet.publish('v1', CONTENT), role=EngineRole.DECODE)
        async with asyncio.timeout(1200):
            while not lapsed:  # no event
                for row in list_turns(fleet):
                    turns.setdefault(row, read_clock())
                await asyncio.sleep(0.1)
        assert lapsed == [False]
        await fleet.stop()


def list_turns(fleet: LandingFleet) -> list[bytes]:
    """List the rows of the roll-out leases that are taken."""
    return [
        row.content
        for key, row in fleet.rows.rows.items()
        if key.startswith('turns/')
    ]


class TestConfiguration:
    """Validation of the key ``role`` of a model deployment."""

    @pytest.mark.parametrize('role', ['prefill', 'decode', 'both', 'leader'])
    def test_only_roles_of_engines_are_sound(self, role: str):
        """Any other value is a finding with its place."""
        found = parse_configuration(
            '[[failure_domains]]\nname = "a"\nregion = "r"\n'
            '[[models]]\nname = "m"\nmodel = "m"\nversion = "1"\n'
            f'manifest_sha256 = "{"0" * 64}"\nfailure_domains = ["a"]\n'
            f'role = "{role}"\n'
        )
        if role != 'leader':
            assert not isinstance(found, tuple)
            assert found.models[0].role == role
            return
        assert isinstance(found, tuple)
        assert found[0].place == 'models[0].role'

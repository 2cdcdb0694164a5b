"""Tests of :mod:`ragwortcourse.weights.reconciliation`."""

import asyncio
import random

import pytest

from fakes.landings import LandingFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.deployment import Adapter
from ragwortcourse.identifiers import AdapterName, VersionName

pytestmark = pytest.mark.looptime
ONE_REGION = {'a': 'r', 'b': 'r', 'c': 'r'}
CONTENT = random.Random(1).randbytes(30_000)
OTHER = CONTENT[::-1]


async def start_fleet() -> LandingFleet:
    """Start five hosts and wait until they serve the first version."""
    fleet = LandingFleet(hosts=5, regions_by_domain=ONE_REGION)
    fleet.deploy('v1', fleet.publish('v1', CONTENT))
    fleet.start()
    await fleet.wait_for('v1', seconds=60)
    return fleet


class TestLandDeployments:
    """Deployments that reach the engines."""

    @pytest.mark.parametrize('size', [0, 1, 1000, 30_500])
    async def test_every_target_serves_the_version(self, size: int):
        """Weights of any size, including zero, reach every engine."""
        fleet = LandingFleet(hosts=5, regions_by_domain=ONE_REGION)
        content = random.Random(size).randbytes(size)
        fleet.deploy('v1', fleet.publish('v1', content))
        fleet.start()
        await fleet.wait_for('v1', seconds=60)
        await fleet.stop()

    async def test_version_that_does_not_load_leaves_the_old_one(self):
        """The old version is served while the new one cannot be loaded."""
        fleet = await start_fleet()
        for host in fleet.hosts.values():
            host.engine.faults.truncated_chunks = 10_000
        fleet.deploy('v2', fleet.publish('v2', OTHER))
        await asyncio.sleep(60)
        assert fleet.count_serving('v1') == 5
        assert fleet.count_serving('v2') == 0
        await fleet.stop()

    @pytest.mark.parametrize('batch', [1, 2])
    async def test_roll_out_keeps_all_but_a_batch_in_service(self, batch: int):
        """At most a batch of targets is without a version at any time.

        Requests on the former version run for two seconds on each target.
        """
        fleet = await start_fleet()
        for name in fleet.hosts:
            fleet.running[name] = 1
        fleet.deploy('v2', fleet.publish('v2', OTHER), batch=batch)
        lowest = 5
        since: dict[str, float] = {}
        for _ in range(400):
            await asyncio.sleep(0.25)
            idle = [
                name
                for name, host in fleet.hosts.items()
                if not host.agent_weights.served.versions
            ]
            lowest = min(lowest, 5 - len(idle))
            for name in idle:
                began = since.setdefault(name, read_clock())
                if read_clock() - began > 2:
                    fleet.running[name] = 0
        assert fleet.count_serving('v2') == 5
        assert lowest >= 5 - batch
        await fleet.stop()

    async def test_configuration_change_rolls_back(self):
        """Configuring the former version again rolls back to it."""
        fleet = await start_fleet()
        fleet.deploy('v2', fleet.publish('v2', OTHER), batch=5)
        await fleet.wait_for('v2', seconds=120)
        fleet.deploy('v1', fleet.publish('v1', CONTENT), batch=5)
        await fleet.wait_for('v1', seconds=120)
        assert fleet.count_serving('v2') == 0
        await fleet.stop()

    async def test_adapter_comes_after_its_model(self):
        """An adapter is served only once its own weights are loaded."""
        fleet = await start_fleet()
        digest = fleet.publish('a1', OTHER, name='tone')
        adapter = Adapter(
            name=AdapterName('tone'),
            version=VersionName('a1'),
            manifest_sha256=digest,
        )
        before = fleet.count_serving('v1', 'tone')
        fleet.deploy('v1', fleet.publish('v1', CONTENT), adapters=(adapter,))
        await asyncio.sleep(60)
        assert before == 0
        assert fleet.count_serving('v1', 'tone') == 5
        await fleet.stop()

    async def test_lost_answer_of_an_order_is_settled(self):
        """An order with a lost answer is resolved from the engine state."""
        fleet = LandingFleet(hosts=2, regions_by_domain=ONE_REGION)
        for host in fleet.hosts.values():
            host.engine.faults.lost_orders = 2
        fleet.deploy('v1', fleet.publish('v1', CONTENT))
        fleet.start()
        await fleet.wait_for('v1', seconds=30)
        orders = [host.engine.versions.orders for host in fleet.hosts.values()]
        assert [len(each) for each in orders] == [2, 2]
        await fleet.stop()

    async def test_cancelled_version_leaves_the_old_one(self):
        """The old version is served after the new one is cancelled."""
        fleet = await start_fleet()
        digest = fleet.publish('v2', OTHER)
        fleet.deploy('v2', digest)
        await asyncio.sleep(1)
        fleet.deploy('v2', digest, cancelled=True)
        await asyncio.sleep(60)
        assert (fleet.count_serving('v1'), fleet.count_serving('v2')) == (5, 0)
        fleet.deploy('v2', digest)
        await fleet.wait_for('v2', seconds=60)
        await fleet.stop()

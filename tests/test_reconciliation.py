"""Tests of :mod:`ragwortcourse.weights.reconciliation`."""

import random

import pytest

from fakes.landings import LandingFleet

pytestmark = pytest.mark.looptime
ONE_REGION = {'a': 'r', 'b': 'r', 'c': 'r'}


class TestLandDeployments:
    """From a deployment to engines that answer with it."""

    @pytest.mark.parametrize('size', [0, 1, 1000, 30_500])
    async def test_every_target_serves_the_version(self, size: int):
        """Weights of any size reach every engine, empty ones too."""
        fleet = LandingFleet(hosts=5, places=ONE_REGION)
        content = random.Random(size).randbytes(size)
        fleet.deploy('v1', fleet.publish('v1', content))
        fleet.start()
        await fleet.wait_for('v1', seconds=60)
        await fleet.stop()

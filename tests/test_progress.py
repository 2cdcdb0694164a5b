"""Tests of :mod:`ragwortcourse.weights.progress`."""

import asyncio
import random

import pytest

from fakes.landings import LandingFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.weights.progress import describe_progress

pytestmark = pytest.mark.looptime
CONTENT = random.Random(1).randbytes(400_000)


class TestExpectedEnd:
    """Estimates of the remaining download time."""

    async def test_is_near_what_comes_true(self):
        """Half-way, the estimate is within 25 % of the actual time."""
        fleet = LandingFleet(hosts=3, regions_by_domain={'a': 'r'}, rate=10_000)
        fleet.deploy('v1', fleet.publish('v1', CONTENT))
        fleet.start()
        await asyncio.sleep(20)
        expected = []
        for host in fleet.hosts.values():
            landing = describe_progress(host.agent_weights)
            assert landing is not None
            assert landing.seconds_left is not None
            expected.append(landing.seconds_left)
        began = read_clock()
        await fleet.wait_for('v1', seconds=60)
        left = read_clock() - began
        assert max(expected) == pytest.approx(left, rel=0.25)
        await fleet.stop()

    async def test_is_not_known_while_nothing_arrives(self):
        """A stalled transfer has no estimate."""
        fleet = LandingFleet(hosts=1, regions_by_domain={'a': 'r'}, rate=10_000)
        fleet.deploy('v1', fleet.publish('v1', CONTENT))
        fleet.start()
        await asyncio.sleep(5)
        fleet.network.cut(frozenset(fleet.hosts))
        await asyncio.sleep(30)
        (host,) = fleet.hosts.values()
        landing = describe_progress(host.agent_weights)
        assert landing is not None
        assert landing.held < landing.total
        assert landing.seconds_left is None
        await fleet.stop()

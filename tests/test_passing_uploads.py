"""Tests of :mod:`ragwortcourse.weights.passing_uploads`."""

import asyncio
import random

import pytest

from fakes.landings import LandingFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.weights.passing_uploads import PassingUploads

pytestmark = pytest.mark.looptime
CHUNK = 6554
FIRST = (Sha256Hex('a'), 0)
SECOND = (Sha256Hex('a'), 1)


class TestOrder:
    """Order of the uploads of a chunk."""

    @pytest.mark.parametrize(
        ('chunk', 'limit', 'seconds'),
        [(FIRST, 9, 2), (FIRST, 1, 1), (SECOND, 9, 0)],
        ids=['same chunk', 'deadline', 'other chunk'],
    )
    async def test_leaf_comes_after_those_that_pass_on(
        self, chunk, limit, seconds
    ):
        """A leaf waits for two uploads of its chunk until its deadline."""
        passing = PassingUploads()

        async def upload(took: float) -> None:
            with passing.hold_leaves(FIRST):
                await asyncio.sleep(took)

        began = read_clock()
        async with asyncio.TaskGroup() as group:
            leaf = asyncio.create_task(passing.let_pass(chunk, began + limit))
            group.create_task(upload(1))
            group.create_task(upload(2))
            await leaf
            assert read_clock() - began == pytest.approx(seconds)

    async def test_last_failure_domain_starts_early(self):
        """Eight failure domains have first chunks within 2 s at 10 a second."""
        fleet = LandingFleet(
            hosts=16,
            regions_by_domain={
                f'd{each}': f'r{each // 4}' for each in range(8)
            },
            rate=10 * CHUNK,
            line_rate=10 * CHUNK,
            chunk_memory=64 * CHUNK,
        )
        content = random.Random(1).randbytes(100 * CHUNK)
        fleet.deploy('v1', fleet.publish('v1', content, CHUNK))
        fleet.start()
        await asyncio.sleep(2)
        verified = [
            transfer.counts.verified
            for host in fleet.hosts.values()
            for transfer in host.agent_weights.exchange.transfers.values()
        ]
        await fleet.stop()
        assert len(verified) == 16
        assert all(verified)

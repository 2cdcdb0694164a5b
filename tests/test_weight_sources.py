"""Tests of :mod:`ragwortcourse.weights.sources`."""

import asyncio

import pytest

from fakes.landings import LandingFleet
from ragwortcourse.clock import read_clock
from ragwortcourse.weights.chunk_download_state import ChunkDownloadState
from ragwortcourse.weights.download_slots import (
    CROSS_REGION_DOWNLOADS_PER_HOST,
)
from ragwortcourse.weights.sources import try_peer

pytestmark = pytest.mark.looptime


class TestSlotsBetweenRegions:
    """Requests that wait for a slot of the line between regions."""

    async def test_peer_found_silent_meanwhile_is_not_asked(self):
        """A queued request does not wait for a peer known as silent."""
        fleet = LandingFleet(hosts=2, regions_by_domain={'a': 'r1', 'b': 'r2'})
        weights = fleet.hosts['host-001'].agent_weights
        transfer = weights.open_transfer(fleet.publish('v1', b'content'))
        state = ChunkDownloadState(
            transfer=transfer, index=0, started_at=read_clock()
        )
        slots = transfer.slots.cross_region
        for _ in range(CROSS_REGION_DOWNLOADS_PER_HOST):
            await slots.acquire()
        asking = asyncio.create_task(try_peer(weights, state, fleet.peers[0]))
        await asyncio.sleep(1)
        weights.exchange.health.note_silence(fleet.peers[0].daemon)
        slots.release()
        assert await asking is None
        assert fleet.hosts['host-001'].exchanges == 0

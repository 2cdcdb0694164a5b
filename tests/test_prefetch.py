"""Tests of :mod:`ragwortcourse.weights.planning.prefetch`."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.planning.prefetch import Prefetch

pytestmark = pytest.mark.looptime
CHUNKS = 6


class TestPrefetch:
    """Prefetch of one version."""

    async def test_dropped(self):
        """A version that is dropped while it is on hold is not downloaded.

        Each waiting prefetch would take one more chunk over the origin's
        link, just as its successor needs it.
        """
        kept, wanted, found = [True], [True], []

        async def find_chunk(chunks, index):
            found.append(index)
            wanted[0] = False
            return b'chunk'

        prefetch = Prefetch(
            find_chunk=find_chunk,
            is_kept=lambda chunks: kept[0],
            read_start=lambda manifest, index: index * 0.1,
            is_wanted=lambda model, version: wanted[0],
        )
        manifest = FleetManifest(
            model=MODEL, version=2, digests=('digest',) * CHUNKS
        )
        running = asyncio.create_task(
            prefetch.run(VersionChunks(manifest=manifest), range(CHUNKS), 0)
        )
        await asyncio.sleep(1)
        kept[0] = False
        await running
        assert found == [0]

"""Tests of :mod:`ragwortcourse.weights.chunk_cache`."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.chunk_cache import ChunkCache
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest import digest_bytes

pytestmark = pytest.mark.looptime
CHUNKS = 6


def make_chunk(version: int, index: int) -> bytes:
    """Bytes of a chunk."""
    return f'{version}/{index}'.encode()


class Source:
    """Where the cache draws from."""

    def __init__(self, *, own: tuple[int, ...] = ()) -> None:
        self.draws: list[tuple[int, int]] = []
        self.manifests = 0
        self.spoilt = False
        self.own = own
        self.cache = ChunkCache(
            read_manifest=self.read_manifest,
            draw=self.draw,
            list_own=self.list_own,
        )

    async def read_manifest(self, model, version):
        """A manifest, after some time."""
        self.manifests += 1
        await asyncio.sleep(0.1)
        return FleetManifest(
            model=model,
            version=version,
            digests=tuple(
                digest_bytes(make_chunk(version, index))
                for index in range(CHUNKS)
            ),
        )

    async def draw(self, manifest, index):
        """A chunk, after some time."""
        self.draws.append((manifest.version, index))
        await asyncio.sleep(0.1)
        if self.spoilt:
            return b'spoilt'
        return make_chunk(manifest.version, index)

    async def list_own(self, manifest):
        """Chunks drawn ahead."""
        return self.own


class TestChunkCache:
    """Chunks that are passed on."""

    async def test_drawn_once(self):
        """Many who ask at the same time share one draw."""
        source = Source()
        found = await asyncio.gather(
            *(source.cache.find(MODEL, 1, 2) for _ in range(20))
        )
        assert set(found) == {make_chunk(1, 2)}
        assert source.draws == [(1, 2)]
        assert source.manifests == 1

    async def test_kept(self):
        """A chunk is drawn no second time."""
        source = Source()
        for _ in range(3):
            assert await source.cache.find(MODEL, 1, 2) == make_chunk(1, 2)
        assert len(source.draws) == 1

    async def test_one_who_leaves(self):
        """A draw goes on when one of those who wait leaves."""
        source = Source()
        leaving = asyncio.ensure_future(source.cache.find(MODEL, 1, 2))
        staying = asyncio.ensure_future(source.cache.find(MODEL, 1, 2))
        await asyncio.sleep(0.15)
        leaving.cancel()
        assert await staying == make_chunk(1, 2)

    async def test_spoilt(self):
        """Wrong bytes are neither kept nor passed on."""
        source = Source()
        source.spoilt = True
        assert await source.cache.find(MODEL, 1, 2) is None
        source.spoilt = False
        assert await source.cache.find(MODEL, 1, 2) == make_chunk(1, 2)

    async def test_ahead(self):
        """What others will ask for here is drawn before they do."""
        source = Source(own=(1, 3, 5))
        await source.cache.find(MODEL, 1, 1)
        await asyncio.sleep(1)
        assert sorted(source.draws) == [(1, 1), (1, 3), (1, 5)]
        await source.cache.stop()

    async def test_unknown_chunk(self):
        """A chunk that the version does not have is none."""
        assert await Source().cache.find(MODEL, 1, CHUNKS) is None

    async def test_old_versions_go(self):
        """Of many versions only the newest stay in memory."""
        source = Source()
        for version in range(1, 6):
            await source.cache.find(MODEL, version, 0)
        await source.cache.find(MODEL, 1, 0)
        assert source.draws.count((1, 0)) == 2

    async def test_drawn_when_named(self):
        """A named version is drawn before anybody asks for it."""
        source = Source(own=(0, 1))
        task = asyncio.ensure_future(source.cache.follow(lambda: [(MODEL, 2)]))
        await asyncio.sleep(1)
        task.cancel()
        assert sorted(source.draws) == [(2, 0), (2, 1)]
        assert source.manifests == 1
        await source.cache.stop()

    async def test_failure_is_told_once(self, caplog):
        """A lasting failure leaves one line for each version."""
        source = Source()
        source.spoilt = True
        for _ in range(20):
            await source.cache.find(MODEL, 1, 2)
        assert len(caplog.records) == 1

"""Tests of the manifests of versions in service."""

import asyncio

import pytest

from fakes.fleet_parts import MODEL
from fakes.loader_host import CHUNKS, LoaderHost, make_chunk, make_manifest
from ragwortcourse.weights.planning.held_manifest import HeldManifest
from ragwortcourse.weights.planning.known_manifests import KnownManifests

pytestmark = pytest.mark.looptime


class TestHeldManifest:
    """Manifest that a loader passes on."""

    async def keep(self, host: LoaderHost):
        """Return the manifest that a loader keeps after some seconds."""
        held = HeldManifest(loader_weights=host.loading)
        async with host.run():
            task = asyncio.ensure_future(held.keep())
            await asyncio.sleep(5)
            task.cancel()
        return await held.find(MODEL, 1)

    async def test_kept_from_the_start(self):
        """A loader has the manifest of a version that it did not download.

        An engine that was added while the origin corrupted its answers got
        no manifest of the version that 18 others served.
        """
        host = LoaderHost(version=1)
        assert await self.keep(host) == make_manifest(1)

    async def test_does_not_fit(self):
        """A manifest that does not fit the staged chunks is not passed on."""
        host = LoaderHost(version=1)
        host.engine.stage = {
            index: make_chunk(1, index) for index in range(CHUNKS - 1)
        }
        host.engine.stage[CHUNKS - 1] = make_chunk(2, 0)
        assert await self.keep(host) is None

    async def test_other_versions(self):
        """Only the manifest of the asked version is returned."""
        host = LoaderHost(version=1)
        held = HeldManifest(loader_weights=host.loading)
        async with host.run():
            task = asyncio.ensure_future(held.keep())
            await asyncio.sleep(5)
            task.cancel()
        assert await held.find(MODEL, 2) is None


class TestKnownManifests:
    """Manifests that an entry daemon keeps."""

    async def test_origin_fails_later(self):
        """A manifest that was read is served while no source has it."""
        sources = [make_manifest(1)]

        async def read(model, version):
            return sources[0] if sources else None

        known = KnownManifests(read_manifest=read)
        task = asyncio.ensure_future(known.keep(lambda: [(MODEL, 1)]))
        await asyncio.sleep(3)
        task.cancel()
        sources.clear()
        assert await known.read(MODEL, 1) == make_manifest(1)
        assert await known.read(MODEL, 2) is None

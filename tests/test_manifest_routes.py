"""Tests of manifests between daemons."""

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import (
    build_manifest_routes,
    fetch_manifest,
)
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.peer_reach import PeerReach

MANIFEST = FleetManifest(model=MODEL, version=2, digests=('ab', 'cd'))
DOWN = '127.0.0.1:1'


async def fetch(*finds) -> FleetManifest | None:
    """The manifest from daemons, after one that is down."""
    servers = []
    for find in finds:
        app = web.Application()
        app.add_routes(build_manifest_routes(find))
        server = TestServer(app)
        await server.start_server()
        servers.append(server)
    addresses = [f'127.0.0.1:{server.port}' for server in servers]
    try:
        async with ClientSession() as session:
            return await fetch_manifest(
                session=session,
                reach=PeerReach(),
                addresses=[DOWN, *addresses],
                model=MODEL,
                version=2,
            )
    finally:
        for server in servers:
            await server.close()


async def have(model, version):
    """A daemon that has it."""
    return MANIFEST


async def lack(model, version):
    """A daemon that has nothing."""
    return


class TestFetchManifest:
    """What daemons tell each other.

    Load pattern: a version is named to a hundred daemons at once, and the
    origin bears less than fifty connections.
    """

    async def test_first_that_has_it(self):
        """It comes from the first daemon that has it."""
        assert await fetch(lack, have) == MANIFEST

    async def test_nobody(self):
        """Where nobody has it the origin is next."""
        assert await fetch(lack) is None


class TestReadTwice:
    """What is taken from the origin for all."""

    @pytest.mark.parametrize(
        ('answers', 'found'),
        [
            ([MANIFEST, MANIFEST], MANIFEST),
            ([MANIFEST, None], None),
            ([None], None),
            (
                [
                    MANIFEST,
                    FleetManifest(model=MODEL, version=2, digests=('ab', 'ce')),
                ],
                None,
            ),
        ],
    )
    async def test_answers(self, answers, found):
        """Digests that were told differently are not passed on."""
        left = list(answers)

        async def read(address, model, version):
            return left.pop(0)

        calls = OriginCalls(read_manifest=read, read_chunk=None)
        assert await calls.read_manifest_twice('o', MODEL, 2) == found
        assert not left

"""Tests of the transfer of manifests between daemons."""

import logging

import msgspec
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


async def fetch(*handlers) -> FleetManifest | None:
    """Fetch the manifest from daemons, of which the first one is down.

    :param handlers: ``find_manifest`` of each daemon that is up.
    """
    servers = []
    for handler in handlers:
        app = web.Application()
        app.add_routes(build_manifest_routes(handler))
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


async def find_present(model, version):
    """Answer as a daemon that has the manifest."""
    return MANIFEST


async def find_nothing(model, version):
    """Answer as a daemon without the manifest."""
    return


class TestFetchManifest:
    """Manifests from other daemons.

    Load pattern: a hundred daemons learn of a new version at once, and the
    origin accepts fewer than fifty connections.
    """

    async def test_first_that_has_it(self):
        """The manifest comes from the first daemon that has it."""
        assert await fetch(find_nothing, find_present) == MANIFEST

    async def test_nobody(self):
        """Without a daemon that has the manifest, there is no result."""
        assert await fetch(find_nothing) is None

    async def test_deeply_nested_answer(self, caplog):
        """The next daemon is asked after an answer that can't be read."""
        caplog.set_level(logging.INFO)

        async def find_odd(model, version):
            return msgspec.Raw(b'{"a":%s}' % (b'[' * 100_000 + b']' * 100_000))

        assert await fetch(find_odd, find_present) == MANIFEST
        assert 'asking the next daemon' in caplog.text


class TestReadTwice:
    """Manifests from the origin, which daemons then serve to others."""

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
        """A manifest counts only if two reads agree."""
        remaining = list(answers)

        async def read(address, model, version):
            return remaining.pop(0)

        calls = OriginCalls(read_manifest=read, read_chunk=None)
        assert await calls.read_manifest_twice('o', MODEL, 2) == found
        assert not remaining

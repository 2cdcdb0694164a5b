"""Tests of :mod:`ragwortcourse.platform.weight_source`."""

import contextlib
import logging

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import MODEL
from ragwortcourse.platform.weight_source import WeightSource

DEEP = b'{"version":2,"digests":["ab"],"a":%s}' % (
    b'[' * 100_000 + b']' * 100_000
)


async def read(content: bytes):
    """Read the manifest of version 2 from an origin with this answer."""

    async def send(request):
        return web.Response(body=content)

    app = web.Application()
    app.add_routes([web.get('/manifest/{model}', send)])
    async with contextlib.AsyncExitStack() as stack:
        server = TestServer(app)
        await server.start_server()
        stack.push_async_callback(server.close)
        session = await stack.enter_async_context(ClientSession())
        source = WeightSource(session=session)
        return await source.read_manifest(f'127.0.0.1:{server.port}', MODEL, 2)


class TestReadManifest:
    """Manifests of an origin."""

    async def test_sound(self):
        """The digests are read in order."""
        manifest = await read(b'{"version":2,"digests":["ab","cd"]}')
        assert manifest.digests == ('ab', 'cd')

    @pytest.mark.parametrize(
        'content',
        [b'', b'{', DEEP, b'{"version":%s,"digests":[]}' % (b'9' * 400)],
    )
    async def test_unreadable(self, content, caplog):
        """An odd answer counts as none and is logged."""
        caplog.set_level(logging.INFO)
        assert await read(content) is None
        assert 'unreadable manifest' in caplog.text

"""Tests of :mod:`ragwortcourse.weights.fleet_downloader`, over HTTP."""

import asyncio
import contextlib

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import MODEL, NEAR_DOMAIN, make_state
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.weights.chunk_routes import build_chunk_routes
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loader_sources import LoaderSources
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.manifest_routes import build_manifest_routes
from ragwortcourse.weights.origin_calls import OriginCalls

CHUNK = b'weights' * 100
MANIFEST = FleetManifest(model=MODEL, version=2, digests=(digest_bytes(CHUNK),))
RATE = 10_000_000


class Site:
    """A loader with one relay of its failure domain and the origin.

    :ivar kept: chunks that the relay holds, by index.
    :ivar late: chunks that the relay holds after the first question.
    :ivar silent: whether there is a relay elsewhere, which does not answer.
    :ivar asked: requests to the origin.
    """

    def __init__(self) -> None:
        self.kept: dict[int, bytes] = {}
        self.late: dict[int, bytes] = {}
        self.silent = False
        self.asked: list[str] = []
        self.stack = contextlib.AsyncExitStack()

    async def open(self) -> LoaderSources:
        """Start the relay and return the loader's sources."""
        session = await self.stack.enter_async_context(ClientSession())
        relays = [await self.open_relay('near', self.find_manifest)]
        if self.silent:
            relays.append(await self.open_relay('far', self.find_never))
        state = make_state()
        services = {'origin': ServiceRules(name='origin', origin='o:1')}
        object.__setattr__(state.desired, 'services', services)

        async def list_relays():
            return tuple(relays)

        calls = OriginCalls(
            read_manifest=self.read_manifest, read_chunk=self.read_chunk
        )
        return LoaderSources(
            downloader=FleetDownloader(
                session=session, state=state, calls=calls
            ),
            domain=NEAR_DOMAIN,
            list_relays=list_relays,
        )

    async def open_relay(self, region, find_manifest) -> RelayRecord:
        """Start a relay and return its registration."""
        app = web.Application()
        app.add_routes(build_chunk_routes(self.find_chunk))
        app.add_routes(build_manifest_routes(find_manifest))
        server = TestServer(app)
        await server.start_server()
        self.stack.push_async_callback(server.close)
        return RelayRecord(
            daemon=f'entry-{region}',
            address=f'127.0.0.1:{server.port}',
            failure_domain=NEAR_DOMAIN if region == 'near' else 'far-a',
            region=region,
        )

    async def find_chunk(self, model, version, index):
        """Return a chunk from the relay."""
        return self.kept.get(index)

    async def find_manifest(self, model, version):
        """Return the manifest from the relay, if it holds a chunk."""
        kept, self.kept = self.kept, self.kept or self.late
        return MANIFEST if kept else None

    async def find_never(self, model, version):
        """Never return."""
        await asyncio.Event().wait()

    async def read_manifest(self, address, model, version):
        """Return the manifest from the origin."""
        self.asked.append('manifest')
        return MANIFEST

    async def read_chunk(self, address, manifest, index):
        """Return the chunk from the origin."""
        self.asked.append('chunk')
        return CHUNK


@pytest.fixture
async def site():
    """Provide an empty relay and the origin."""
    opened = Site()
    async with opened.stack:
        yield opened


class TestLoaderSources:
    """Sources of the manifests and chunks of a loader."""

    async def test_relay_first(self, site):
        """The origin is not asked for chunks that a relay holds."""
        sources = await site.open()
        site.kept = {0: CHUNK}
        assert await sources.read_manifest(MODEL, 2) == MANIFEST
        assert await sources.download_chunk(MANIFEST, 0, RATE) == CHUNK
        assert not site.asked

    async def test_relay_without_it(self, site):
        """Manifests and chunks that no relay holds come from the origin."""
        sources = await site.open()
        assert await sources.read_manifest(MODEL, 2) == MANIFEST
        assert await sources.download_chunk(MANIFEST, 0, RATE) == CHUNK
        assert site.asked == ['manifest', 'manifest', 'chunk']

    async def test_relay_gets_it_while_another_is_silent(self, site):
        """A relay is asked again while a later source does not answer.

        Seen on mra-estimates-grown scale-1: the relays of a failure domain
        had a manifest a tenth of a second after the origin came back, but
        their loaders waited for a relay behind a cut, then for the origin.
        """
        site.silent = True
        sources = await site.open()
        site.late = {0: CHUNK}
        assert await sources.read_manifest(MODEL, 2) == MANIFEST
        assert not site.asked

    async def test_spoilt_relay(self, site):
        """Bytes with a wrong digest are not accepted from a relay."""
        sources = await site.open()
        site.kept = {0: b'spoilt'}
        assert await sources.download_chunk(MANIFEST, 0, RATE) == CHUNK
        assert site.asked == ['chunk']

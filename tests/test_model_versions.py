"""Models whose new weights have the same version number.

Guards against the failure of review/6: chunks and manifests were kept by the
number alone, and engines were ordered to load another model's weights.
"""

import asyncio
import dataclasses
import json

import msgspec
import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import (
    ENGINE_RULES,
    MODEL,
    make_forwarder,
    make_state,
    make_target,
)
from fakes.loader_host import CHUNKS, LoaderHost, make_chunk
from fakes.staged_engine import StagedEngine
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.load_exchange import LoadReceiver
from ragwortcourse.forwarding.load_messages import SwitchMessage
from ragwortcourse.forwarding.target import HeldWeights
from ragwortcourse.identifiers import ModelName
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.weight_source import WeightSource
from ragwortcourse.weights.chunk_cache import VERSIONS_SERVED, ChunkCache
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import EngineReport
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.manifest_routes import (
    build_manifest_routes,
    fetch_manifest,
)
from ragwortcourse.weights.model_version import ModelVersion
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.planning.chunk_patience import ChunkPatience
from ragwortcourse.weights.planning.known_manifests import (
    MANIFESTS_KEPT,
    KnownManifests,
)
from ragwortcourse.weights.planning.origin_turns import OriginTurns
from ragwortcourse.weights.unanswered_order import (
    UnansweredOrder,
    holds_version,
)
from ragwortcourse.weights.unanswered_writes import UnansweredWrites

OTHER = ModelName('other')
MODELS = (MODEL, OTHER)
VERSION = 2


def make_content(model: ModelName, version: int, index: int) -> bytes:
    """Make the bytes of a chunk, which only this chunk has."""
    return f'{model}/{version}/{index}'.encode()


def make_manifest(model: ModelName, version: int = VERSION) -> FleetManifest:
    """Make the manifest of a version."""
    return FleetManifest(
        model=model,
        version=version,
        digests=tuple(
            digest_bytes(make_content(model, version, index))
            for index in range(CHUNKS)
        ),
    )


@pytest.mark.looptime
class TestChunkCache:
    """Cache of a forwarder that serves two models."""

    def build(self, slow=None) -> ChunkCache:
        """Build a cache that prefetches all chunks.

        :param slow: model whose manifest takes a minute to read.
        """

        async def read_manifest(model, version):
            await asyncio.sleep(60 if model == slow else 0.1)
            return make_manifest(model, version)

        async def download(manifest, index):
            await asyncio.sleep(0.1)
            return make_content(manifest.model, manifest.version, index)

        async def list_own(manifest):
            return tuple(range(CHUNKS))

        return ChunkCache(
            read_manifest=read_manifest,
            download_chunk=download,
            list_own=list_own,
        )

    async def test_at_once(self):
        """Each model gets its own manifest and chunks."""
        cache = self.build()
        manifests = await asyncio.gather(
            *(cache.find_manifest(model, VERSION) for model in MODELS)
        )
        assert manifests == [make_manifest(model) for model in MODELS]
        for index in range(CHUNKS):
            found = await asyncio.gather(
                *(cache.find(model, VERSION, index) for model in MODELS)
            )
            assert found == [
                make_content(model, VERSION, index) for model in MODELS
            ]
        await cache.stop()

    async def test_many_models(self):
        """The versions of other models evict none, and end no prefetch."""
        cache = self.build()
        names = [ModelName(f'model-{number}') for number in range(5)]
        for version in range(1, VERSIONS_SERVED + 1):
            for name in names:
                await cache.find_manifest(name, version)
        await asyncio.sleep(2)
        began_at = read_clock()
        for version in range(1, VERSIONS_SERVED + 1):
            for name in names:
                for index in range(CHUNKS):
                    content = await cache.find(name, version, index)
                    assert content == make_content(name, version, index)
        assert read_clock() == began_at
        await cache.stop()

    async def test_slow_manifest(self):
        """A model whose manifest takes long delays no other model."""
        cache = self.build(slow=MODEL)
        prefetching = asyncio.ensure_future(
            cache.prefetch_deployed(
                lambda: [(model, VERSION) for model in MODELS]
            )
        )
        await asyncio.sleep(1)
        began_at = read_clock()
        assert await cache.find(OTHER, VERSION, 1)
        assert read_clock() == began_at
        prefetching.cancel()
        await asyncio.gather(prefetching, return_exceptions=True)
        await cache.stop()

    async def test_gone_relay(self):
        """The chunks of a stopped relay are prefetched for each model."""

        async def list_replaced(manifest, index, gone):
            return tuple(range(index + 1, CHUNKS))

        downloaded = []

        async def download(manifest, index):
            downloaded.append((manifest.model, index))
            return make_content(manifest.model, manifest.version, index)

        async def read_manifest(model, version):
            return make_manifest(model, version)

        async def list_own(manifest):
            return ()

        cache = ChunkCache(
            read_manifest=read_manifest,
            download_chunk=download,
            list_own=list_own,
            list_replaced=list_replaced,
        )
        for model in MODELS:
            cache.note_gone(model, VERSION, 0, ('10.0.0.9:1',))
        await asyncio.sleep(1)
        assert sorted(downloaded) == sorted(
            (model, index) for model in MODELS for index in range(1, CHUNKS)
        )
        await cache.stop()


class TestKnownManifests:
    """Manifests that a forwarder keeps."""

    async def test_no_model_evicts_another(self):
        """Each model's newest manifests are kept, whatever its name."""
        read = []

        async def read_manifest(model, version):
            read.append((model, version))
            return make_manifest(model, version)

        known = KnownManifests(read_manifest=read_manifest)
        names = [ModelName(f'model-{number}') for number in range(3)]
        for version in range(1, MANIFESTS_KEPT + 1):
            for name in names:
                await known.read(name, version)
        read.clear()
        for name in names:
            await known.read(name, MANIFESTS_KEPT)
        assert not read


@pytest.mark.looptime
class TestOriginTurns:
    """Calls to the origin for chunks of several models."""

    async def test_models_take_turns(self):
        """A model with lower numbers, or a later name, does not wait last."""
        turns = OriginTurns(limit=1)
        called = []

        async def call(model, version, index):
            async with turns.take(ModelVersion(model, version), index):
                called.append((model, index))
                await asyncio.sleep(1)

        await asyncio.gather(
            *(
                call(model, version, index)
                for model, version in ((MODEL, 9), (OTHER, 2))
                for index in range(3)
            )
        )
        assert called == [
            (model, index) for index in range(3) for model in MODELS
        ]


@pytest.mark.looptime
class TestChunkPatience:
    """Waits for chunks of several models."""

    async def test_arrivals_of_another_model(self):
        """Chunks of another model neither end nor shorten a wait."""
        patience = ChunkPatience()
        own = ModelVersion(MODEL, VERSION)
        assert not patience.is_over(own, 0, seconds=3)
        for index in range(5):
            patience.note_arrived(ModelVersion(OTHER, VERSION), index)
            await asyncio.sleep(1)
        assert not patience.is_over(own, 0, seconds=3)

    async def test_higher_numbers(self):
        """Versions of another model make no wait begin anew."""
        patience = ChunkPatience()
        own = ModelVersion(MODEL, VERSION)
        patience.is_over(own, 0, seconds=3)
        for number in range(10, 20):
            patience.is_over(ModelVersion(OTHER, number), 0, seconds=3)
        await asyncio.sleep(10)
        assert patience.is_over(own, 0, seconds=3)


class TestManifests:
    """Manifests on the way between daemons, and from the origin."""

    @pytest.mark.parametrize(
        'wrong', [make_manifest(OTHER), make_manifest(MODEL, VERSION + 1)]
    )
    async def test_manifest_of_other_weights(self, wrong, caplog):
        """A daemon that answers with other weights is passed over."""
        servers, addresses = [], []
        for answer in (wrong, make_manifest(MODEL)):

            async def find(model, version, answer=answer):
                return answer

            app = web.Application()
            app.add_routes(build_manifest_routes(find))
            server = TestServer(app)
            await server.start_server()
            servers.append(server)
            addresses.append(f'127.0.0.1:{server.port}')
        async with ClientSession() as session:
            found = await fetch_manifest(
                session=session,
                reach=PeerReach(),
                addresses=addresses,
                model=MODEL,
                version=VERSION,
            )
        for server in servers:
            await server.close()
        assert found == make_manifest(MODEL)
        assert 'manifest of other weights' in caplog.text

    @pytest.mark.parametrize(
        ('stated', 'is_taken'), [(MODEL, True), (OTHER, False), (None, True)]
    )
    async def test_origin(self, stated, is_taken):
        """A manifest in which the origin states another model is refused."""
        answer = {'model': stated, 'version': VERSION, 'digests': ['ab']}
        if stated is None:
            answer.pop('model')

        async def send(request):
            return web.json_response(answer)

        app = web.Application()
        app.router.add_get('/manifest/{model}', send)
        server = TestServer(app)
        await server.start_server()
        async with ClientSession() as session:
            found = await WeightSource(session=session).read_manifest(
                f'127.0.0.1:{server.port}', MODEL, VERSION
            )
        await server.close()
        assert (found is not None) is is_taken


class TestHeldWeights:
    """Weights that an engine states."""

    @pytest.mark.parametrize(
        ('model', 'is_held'), [(MODEL, True), (OTHER, False), (None, True)]
    )
    def test_target(self, model, is_held):
        """A target with another model's weights gets no request."""
        held = HeldWeights(version=VERSION, first=0, end=16, model=model)
        assert make_target(weights=held).holds(ENGINE_RULES) is is_held

    async def test_report(self):
        """A report names the model whose layers the engine holds."""
        report = {
            'models': [
                {'name': MODEL, 'version': 1, 'adapters': []},
                {'name': OTHER, 'version': VERSION, 'adapters': []},
            ],
            'layers': {'from': 0, 'to': 16, 'version': VERSION},
        }

        async def send(request):
            return web.Response(body=json.dumps(report).encode())

        app = web.Application()
        app.router.add_get('/report', send)
        server = TestServer(app)
        await server.start_server()
        async with ClientSession() as session:
            engine = Engine(
                session=session,
                reports=session,
                address=f'127.0.0.1:{server.port}',
            )
            found = await engine.read_report()
        await server.close()
        assert found.weights.model == OTHER


class TestSwitchMessage:
    """Notices of loaders, which name an engine by its address."""

    @pytest.mark.parametrize(
        ('model', 'version'), [(MODEL, VERSION), (OTHER, 1), (None, VERSION)]
    )
    async def test_model(self, model, version):
        """A version of another model than the target's is not believed."""
        target = make_target()
        async with ClientSession() as session:
            forwarder = make_forwarder(make_state(target), session)
            message = SwitchMessage(
                address=target.address,
                seconds=0,
                version=VERSION,
                model=model,
            )
            LoadReceiver(forwarder=forwarder).datagram_received(
                msgspec.json.encode(message), ('127.0.0.1', 1)
            )
        assert forwarder.find_load(target).read_version(target) == version


class ModelEngine(StagedEngine):
    """Engine that states its model, and was loaded with another one's."""

    def __init__(self) -> None:
        super().__init__(version=VERSION)
        self.model = OTHER

    async def read_report(self):
        """Report the state with the model."""
        report = await super().read_report()
        held = report.weights
        return dataclasses.replace(
            report,
            weights=held and dataclasses.replace(held, model=self.model),
        )

    async def order_load(self, model, version, expected_orders=None):
        """Load the staged chunks of a model."""
        if model != self.model:
            self.version = 0
        self.model = model
        return await super().order_load(model, version, expected_orders)


class TestLoader:
    """Loader of an engine that holds another model's weights."""

    @pytest.mark.looptime
    async def test_engine_with_another_model(self):
        """The engine is brought to the same version of its own model."""
        host = LoaderHost(engine=ModelEngine())
        host.name(VERSION)
        async with host.run():
            await asyncio.sleep(5)
        assert host.engine.model == MODEL
        assert host.engine.orders == [
            (VERSION, {n: make_chunk(VERSION, n) for n in range(CHUNKS)})
        ]

    def test_unanswered_order(self):
        """An order is not in effect at an engine with another model."""
        chunks = VersionChunks(manifest=make_manifest(MODEL))
        order = UnansweredOrder(chunks=chunks, orders=0, sent_at=0)
        for model, is_held in ((MODEL, True), (OTHER, False)):
            weights = HeldWeights(version=VERSION, first=0, end=16, model=model)
            report = EngineReport(busy=False, running=0, weights=weights)
            assert holds_version(report, order) is is_held

    def test_unanswered_writes(self):
        """Models are staged apart, so a late write spoils its own only."""
        writes = UnansweredWrites()
        writes.add(VersionChunks(manifest=make_manifest(OTHER, 1)), 0, 0)
        chunks = VersionChunks(manifest=make_manifest(MODEL))
        assert not writes.has_others(chunks)
        writes.add(VersionChunks(manifest=make_manifest(MODEL, 1)), 0, 0)
        assert writes.has_others(chunks)

"""Contract tests of the origin's ports: HTTP adapters and fakes."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import test_utils, web

from fakes.faults import Fault
from fakes.origin import (
    BODY_LIMIT_BYTES,
    OriginStore,
    build_memory_origin,
    build_memory_writer,
    build_origin_routes,
)
from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.weights.http_origin import (
    build_http_origin,
    build_http_writer,
)
from ragwortcourse.weights.origin import (
    OriginBusy,
    OriginContent,
    OriginFailed,
    WeightOrigin,
)
from ragwortcourse.weights.origin_writer import (
    OriginStored,
    OriginUnreached,
    OriginWriter,
    VersionTaken,
)

MODEL, VERSION = ModelName('drafts'), VersionName('v1')
ONE, OTHER = Sha256Hex('1' * 64), Sha256Hex('2' * 64)
FAILURES = [Fault.REFUSED, Fault.DOWN, Fault.ANSWER_LOST]


@dataclasses.dataclass(kw_only=True)
class Ports:
    """The ports under test, and the fake origin behind them."""

    store: OriginStore
    origin: WeightOrigin
    writer: OriginWriter


@pytest.fixture(params=['http', 'memory'])
async def ports(request: pytest.FixtureRequest) -> AsyncIterator[Ports]:
    """Provide ports to an empty origin, over HTTP and in memory."""
    store = OriginStore()
    if request.param == 'memory':
        yield Ports(
            store=store,
            origin=build_memory_origin(store),
            writer=build_memory_writer(store),
        )
        return
    app = web.Application()
    app.add_routes(build_origin_routes(store=store))
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        url = str(server.make_url('/origin'))
        yield Ports(
            store=store,
            origin=build_http_origin(session=session, base_url=url),
            writer=build_http_writer(session=session, base_url=url),
        )


class TestWeightOrigin:
    """Reads from the origin."""

    async def test_gives_what_was_written(self, ports: Ports):
        """Chunks by index and manifests by digest are read as written."""
        chunk = await ports.writer.write_chunk(MODEL, VERSION, 3, b'\x00chunk')
        manifest = await ports.writer.write_manifest(ONE, b'manifest')
        assert chunk == manifest == OriginStored()
        assert await ports.origin.read_chunk(MODEL, VERSION, 3) == (
            OriginContent(content=b'\x00chunk')
        )
        assert await ports.origin.read_manifest(ONE) == (
            OriginContent(content=b'manifest')
        )

    async def test_absent_object_is_a_failure(self, ports: Ports):
        """A missing object is a failure, not an empty chunk."""
        outcome = await ports.origin.read_chunk(MODEL, VERSION, 0)
        assert isinstance(outcome, OriginFailed)

    @pytest.mark.parametrize('fault', FAILURES)
    async def test_failure_is_told(self, ports: Ports, fault: Fault):
        """A failing origin gives a failure, not content."""
        await ports.writer.write_manifest(ONE, b'manifest')
        ports.store.faults.set(fault)
        outcome = await ports.origin.read_manifest(ONE)
        assert isinstance(outcome, OriginFailed)

    @pytest.mark.parametrize('fault', [Fault.TRUNCATED, Fault.GARBAGE])
    async def test_damage_is_left_to_the_digest(
        self, ports: Ports, fault: Fault
    ):
        """The port returns damaged bytes; the caller verifies the digest."""
        await ports.writer.write_manifest(ONE, b'manifest')
        ports.store.faults.set(fault)
        outcome = await ports.origin.read_manifest(ONE)
        assert isinstance(outcome, OriginContent)
        assert outcome.content != b'manifest'

    async def test_rate_limit_says_when_to_come_back(self, ports: Ports):
        """Beyond its rate limit the origin returns the seconds to wait."""
        await ports.writer.write_manifest(ONE, b'manifest')
        ports.store.requests_per_second = 0.5
        outcomes = [await ports.origin.read_manifest(ONE) for _ in range(4)]
        busy = [each for each in outcomes if isinstance(each, OriginBusy)]
        assert busy
        assert all(each.retry_after > 0 for each in busy)


class TestOriginWriter:
    """Publication to the origin."""

    async def test_version_belongs_to_its_first_manifest(self, ports: Ports):
        """A version can be reserved again for the same digest only."""
        reserve = ports.writer.reserve_version
        assert await reserve(MODEL, VERSION, ONE) == OriginStored()
        assert await reserve(MODEL, VERSION, ONE) == OriginStored()
        assert await reserve(MODEL, VERSION, OTHER) == VersionTaken(digest=ONE)
        next_version = VersionName('v2')
        assert await reserve(MODEL, next_version, OTHER) == OriginStored()

    async def test_one_of_two_publishers_goes_first(self, ports: Ports):
        """Of two concurrent publishers one gets the name.

        The other one learns that the name is taken.
        """
        reserve = ports.writer.reserve_version
        outcomes = await asyncio.gather(
            reserve(MODEL, VERSION, ONE), reserve(MODEL, VERSION, OTHER)
        )
        stored = [each for each in outcomes if each == OriginStored()]
        taken = [each for each in outcomes if isinstance(each, VersionTaken)]
        assert (len(stored), len(taken)) == (1, 1)


class TestHttpWriter:
    """Failures of publication over HTTP."""

    async def test_too_large_chunk_is_a_failure(self):
        """An origin that refuses a body stores nothing."""
        store = OriginStore()
        app = web.Application()
        app.add_routes(build_origin_routes(store=store))
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            writer = build_http_writer(
                session=session, base_url=str(server.make_url('/origin'))
            )
            body = bytes(BODY_LIMIT_BYTES + 1)
            outcome = await writer.write_chunk(MODEL, VERSION, 0, body)
        assert isinstance(outcome, OriginFailed)
        assert not store.objects

    @pytest.mark.parametrize('status', [403, 500, 503])
    async def test_name_is_not_taken_without_a_clear_answer(self, status: int):
        """An error status does not count as a reserved name."""

        async def refuse(_: web.Request) -> web.Response:
            return web.Response(status=status)

        app = web.Application()
        app.router.add_route('*', '/{name:.*}', refuse)
        async with (
            test_utils.TestServer(app) as server,
            aiohttp.ClientSession() as session,
        ):
            writer = build_http_writer(
                session=session, base_url=str(server.make_url('/origin'))
            )
            outcome = await writer.reserve_version(MODEL, VERSION, ONE)
        assert isinstance(outcome, OriginFailed)

    async def test_nobody_listens(self):
        """A refused connection is reported as nothing stored."""
        base = f'http://127.0.0.1:{test_utils.unused_port()}'
        async with aiohttp.ClientSession() as session:
            writer = build_http_writer(session=session, base_url=base)
            outcome = await writer.reserve_version(MODEL, VERSION, ONE)
        assert isinstance(outcome, OriginUnreached)

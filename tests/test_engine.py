"""Contract of :mod:`ragwortcourse.engines.engine` for all adapters."""

import asyncio
import hashlib
import re
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from fakes.agents import MODEL, STREAMED, VERSION
from fakes.engine import build_engine_app
from fakes.engine_faults import EngineFaults
from fakes.engine_load import EngineLoad
from fakes.memory_engine import PIECES, MemoryEngine
from ragwortcourse.engines.engine import (
    Engine,
    EngineAnswer,
    EngineAnswerLost,
    EngineBrokenError,
    EngineOrder,
    EngineRequest,
    EngineSilent,
    EngineState,
    EngineUnreached,
    OrderAction,
    OrderConfirmed,
    OrderRefused,
    OrderUnknown,
)
from ragwortcourse.engines.http_engine import build_http_engine
from ragwortcourse.identifiers import AttemptId, FencingNumber
from ragwortcourse.processes.sessions import open_single_use_session

CHUNKS = (b'first chunk', b'second chunk')
DIGEST = hashlib.sha256(b''.join(CHUNKS)).hexdigest()
QUICK = {'latency': 0.001, 'pace': 0.001, 'report_lag': 0}


class Builder:
    """Builds the port to a fake engine, in the process or over HTTP."""

    def __init__(self, *, over_http: bool) -> None:
        self.over_http = over_http
        self.server: TestServer | None = None
        self.session: aiohttp.ClientSession | None = None

    async def __call__(self, stand_in: MemoryEngine) -> Engine:
        """Build the port."""
        if not self.over_http:
            return stand_in.build()
        self.server = TestServer(build_engine_app(stand_in))
        await self.server.start_server()
        self.session = open_single_use_session()
        return build_http_engine(
            session=self.session, base_url=str(self.server.make_url('/'))
        )

    async def stop(self, stand_in: MemoryEngine) -> None:
        """Stop the fake engine and its server."""
        stand_in.die()
        if self.server is not None:
            await self.server.close()


@pytest.fixture(params=['memory', 'http'])
async def build(request: pytest.FixtureRequest) -> AsyncIterator[Builder]:
    """Provide a builder for each adapter."""
    builder = Builder(over_http=request.param == 'http')
    yield builder
    if builder.session is not None:
        await builder.session.close()
        await builder.server.close()


def make_stand_in(**changes: bool) -> MemoryEngine:
    """Make a fast fake engine that holds the usual version."""
    stand_in = MemoryEngine(load=EngineLoad(**QUICK), **changes)
    stand_in.versions.install(MODEL, VERSION)
    return stand_in


def make_request(**changes: object) -> EngineRequest:
    """Make a request for a streamed answer."""
    usual = {
        'attempt': AttemptId('attempt-1'),
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': {},
        'body': STREAMED,
        'version': VERSION,
    }
    return EngineRequest(**{**usual, **changes})


def make_order(action: OrderAction, fencing: int = 1) -> EngineOrder:
    """Make an order about a version with two chunks."""
    return EngineOrder(
        fencing=FencingNumber(fencing),
        action=action,
        model=MODEL,
        version='v2',
        chunks=len(CHUNKS),
        sha256=DIGEST,
    )


async def read_some(answer: EngineAnswer) -> tuple[bytes, bool]:
    """Read a body; return its bytes and whether it is complete."""
    received = b''
    try:
        async for chunk in answer.body:
            received += chunk
    except EngineBrokenError:
        return received, False
    return received, True


class TestStart:
    """Starting and resuming requests."""

    async def test_answer_names_attempt_and_version(self, build):
        """An answer names its attempt and its model version."""
        answer = await (await build(make_stand_in())).start(make_request())
        received, whole = await read_some(answer)
        assert (answer.attempt, answer.version) == ('attempt-1', VERSION)
        assert whole
        assert received.endswith(b'data: [DONE]\n\n')

    @pytest.mark.parametrize(
        ('faults', 'seen'),
        [
            ({'lost': 1}, EngineAnswerLost),
            ({'crossed': 1}, 'not-attempt-1'),
            ({'wrong_version': 1}, 'another'),
        ],
    )
    async def test_fault_is_told_apart(self, build, faults, seen):
        """A lost answer or one of another attempt or version is detected."""
        stand_in = make_stand_in()
        stand_in.faults = EngineFaults(**faults)
        outcome = await (await build(stand_in)).start(make_request())
        if isinstance(outcome, EngineAnswer):
            assert seen in {outcome.attempt, outcome.version}
        else:
            assert isinstance(outcome, seen)
        assert stand_in.runs.total() == 1

    async def test_nobody_listens(self, build):
        """A refused connection counts as a request that never arrived."""
        stand_in = make_stand_in()
        port = await build(stand_in)
        await build.stop(stand_in)
        assert isinstance(await port.start(make_request()), EngineUnreached)

    @pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
    async def test_request_is_never_sent_twice(self, build, method):
        """No method is retried automatically after a lost answer."""
        stand_in = make_stand_in(is_model_engine=False)
        stand_in.faults.lost = 1
        engine = await build(stand_in)
        outcome = await engine.start(make_request(method=method, path='/x'))
        assert isinstance(outcome, EngineAnswerLost)
        assert stand_in.runs.total() == 1

    @pytest.mark.parametrize('cut', [0, 1, 60, 10**6])
    async def test_broken_stream_is_resumed(self, build, cut):
        """A truncated stream is resumed at the next byte."""
        stand_in = make_stand_in()
        port = await build(stand_in)
        undisturbed, _ = await read_some(await port.start(make_request()))
        stand_in.faults.cut_after = [cut]
        received, whole = await read_some(await port.start(make_request()))
        assert whole == (cut >= len(undisturbed))
        rest = b''
        if not whole:
            again = await port.resume(make_request(), len(received))
            rest, _ = await read_some(again)
        assert received + rest == undisturbed

    async def test_answer_begun_anew_is_no_rest(self, build):
        """A new answer from an engine that cannot resume is rejected."""
        port = await build(make_stand_in(can_resume=False))
        assert isinstance(
            await port.resume(make_request(), 9), EngineAnswerLost
        )

    async def test_cancelled_read_loses_nothing(self, build):
        """A cancelled read can be repeated without loss of bytes."""
        stand_in = make_stand_in()
        stand_in.load.pace = 0.02
        answer = await (await build(stand_in)).start(make_request())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.005):
                await anext(answer.body)
        received, whole = await read_some(answer)
        assert whole
        assert received.count(b'data: ') == PIECES + 1

    async def test_closed_body_ends_the_work(self, build):
        """Closing an unread body ends the request in the engine."""
        stand_in = make_stand_in()
        port = await build(stand_in)
        answer = await port.start(make_request())
        await answer.body.aclose()
        for _ in range(1000):
            await asyncio.sleep(0.01)
            if stand_in.load.running == 0:
                return
        pytest.fail('the request still runs 10 s after its body was closed')


class TestDescribe:
    """Reports of state, versions and load."""

    async def test_state(self, build):
        """A report contains the load and the complete versions."""
        state = await (await build(make_stand_in())).describe()
        assert isinstance(state, EngineState)
        assert state.bearable == EngineLoad().cold
        (version,) = state.versions
        assert version.complete
        assert version.active

    async def test_silence(self, build):
        """A target that does not answer is reported as silent."""
        stand_in = make_stand_in()
        stand_in.faults.silent = True
        state = await (await build(stand_in)).describe()
        assert isinstance(state, EngineSilent)
        assert not state.refused

    async def test_nothing_listens(self, build):
        """A target that is down is told from one that does not answer."""
        stand_in = make_stand_in()
        port = await build(stand_in)
        await build.stop(stand_in)
        state = await port.describe()
        assert isinstance(state, EngineSilent)
        assert state.refused


class TestOrder:
    """Chunks and orders."""

    @pytest.mark.parametrize(
        ('held', 'faults', 'confirmed'),
        [
            (2, {}, True),
            (1, {}, False),
            (2, {'truncated_chunks': 1}, False),
        ],
    )
    async def test_only_whole_version_is_confirmed(
        self, build, held, faults, confirmed
    ):
        """A version with a missing or truncated chunk is never activated."""
        stand_in = make_stand_in()
        stand_in.faults = EngineFaults(**faults)
        port = await build(stand_in)
        for index in range(held):
            await port.store_chunk(MODEL, 'v2', None, index, CHUNKS[index])
        loaded = await port.order(make_order(OrderAction.LOAD))
        active = await port.order(make_order(OrderAction.ACTIVATE))
        assert isinstance(loaded, OrderConfirmed) == confirmed
        assert isinstance(active, OrderConfirmed) == confirmed

    @pytest.mark.parametrize('checks_fencing', [True, False])
    async def test_stale_order(self, build, checks_fencing):
        """A stale order is refused only if the engine checks fencing."""
        port = await build(make_stand_in(checks_fencing=checks_fencing))
        await port.order(make_order(OrderAction.ROLE, fencing=2))
        stale = await port.order(make_order(OrderAction.ROLE, fencing=1))
        assert isinstance(stale, OrderRefused) == checks_fencing

    async def test_lost_answer_is_unknown(self, build):
        """An order with a lost answer is unknown, not refused."""
        stand_in = make_stand_in()
        stand_in.faults.lost_orders = 1
        port = await build(stand_in)
        outcome = await port.order(make_order(OrderAction.ROLE))
        assert isinstance(outcome, OrderUnknown)
        assert len(stand_in.versions.orders) == 1


class RepeatingTarget:
    """A service that sends its first answer on a connection once more.

    The second copy arrives as the next request on that connection is read.
    """

    REPORT = b'HTTP/1.1 404 Not Found\r\nContent-Length: 6\r\n\r\nreport'
    ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer'

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        is_first = True
        while head := await self._read_head(reader):
            if not is_first:
                writer.write(self.REPORT)
            is_state = head.startswith(b'get /state')
            writer.write(self.REPORT if is_state else self.ANSWER)
            is_first = False
            if b'connection: close' in head:
                break
        writer.close()

    async def _read_head(self, reader) -> bytes:
        """Read one request; return its head in lower case, empty at the end."""
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
        except asyncio.IncompleteReadError:
            return b''
        length = re.search(rb'content-length: (\d+)', head)
        if length is not None:
            await reader.readexactly(int(length[1]))
        return head


class TestConnections:
    """Connections to a target that repeats answers late."""

    async def test_late_copy_was_taken_for_the_next_answer(self):
        """A request gets its own answer after a report on the target's state.

        The service names no request in its answers, so nothing but the
        connection tells whose answer it is.
        """
        server = await asyncio.start_server(
            RepeatingTarget().serve, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        async with open_single_use_session() as session:
            engine = build_http_engine(
                session=session, base_url=f'http://127.0.0.1:{port}'
            )
            await engine.describe()
            answer = await engine.start(make_request())
            body = b''.join([chunk async for chunk in answer.body])
        server.close()
        assert (answer.status, body) == (200, b'answer')

"""Tests of answers that end in the middle of their head or body."""

import asyncio
import contextlib
import dataclasses
from typing import ClassVar

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from fakes.agents import make_agent, make_attempt, make_service_attempt
from fakes.fleet_target import ScriptedConnection
from fakes.forwarder_fleet import LETTER, LOOK, ForwarderFleet
from fakes.raw_caller import RawCaller
from ragwortcourse.agent.server import build_agent_routes
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineBrokenError,
    EngineOrder,
    EngineRequest,
    EngineState,
    OrderAction,
    OrderConfirmed,
)
from ragwortcourse.engines.http_engine import build_http_engine
from ragwortcourse.entry.answer_writer import write_answer
from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.exchange import OpenAnswer, open_target_session
from ragwortcourse.identifiers import (
    AttemptId,
    FencingNumber,
    ModelName,
    Sha256Hex,
    VersionName,
)
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    AttemptAnswer,
    AttemptRefused,
)
from ragwortcourse.messages.attempt_report import AttemptReport
from ragwortcourse.messages.call import CallAnswer
from ragwortcourse.messages.heartbeat import Heartbeat
from ragwortcourse.messages.peer_port import DaemonPort
from ragwortcourse.messages.target_status import TargetStatus
from ragwortcourse.platform.engine import Engine
from ragwortcourse.platform.row_fetch import fetch_rows
from ragwortcourse.platform.row_relay import OPERATORS_PATH
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_position import StorePosition
from ragwortcourse.platform.store_row import StoreRows
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.platform.weight_source import WeightSource
from ragwortcourse.processes.sessions import open_daemon_session, open_sessions
from ragwortcourse.storage.http_objects import build_http_objects
from ragwortcourse.storage.http_table import build_http_table
from ragwortcourse.storage.objects import ObjectName, ObjectRead, ObjectWritten
from ragwortcourse.storage.table import (
    CommitUnknown,
    ConditionalWrite,
    RowRead,
    TableKey,
)
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.engine_port import LoadOrderOutcome
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.http_origin import (
    build_http_origin,
    build_http_writer,
)
from ragwortcourse.weights.http_peers import build_http_peers
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.origin import OriginContent
from ragwortcourse.weights.origin_writer import OriginStored, VersionTaken
from ragwortcourse.weights.peer_port import ChunkContent, ChunkRequest
from ragwortcourse.weights.peer_reach import PeerReach

HEAD_END = b'\r\n\r\n'
MODEL = ModelName('m')
MANIFEST = FleetManifest(model=MODEL, version=2, digests=(Sha256Hex('d'),))
CHUNK = b'twelve bytes'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Every so manieth position is enough where each is tested once already.
STEP = 7


FRAMINGS = ('length', 'chunked', 'unframed')
WRITE = ConditionalWrite(key=TableKey('a'), content=b'', expected_version=1)
REQUEST = EngineRequest(
    attempt=AttemptId('a1'),
    method='POST',
    path='/charge',
    headers={},
    body=b'{}',
)


@dataclasses.dataclass(kw_only=True)
class AllSessions:
    """Sessions as the daemons open them."""

    relay: aiohttp.ClientSession
    plain: aiohttp.ClientSession
    engines: aiohttp.ClientSession
    store: aiohttp.ClientSession
    daemons: aiohttp.ClientSession
    targets: aiohttp.ClientSession


@contextlib.asynccontextmanager
async def open_all_sessions():
    """Yield open sessions."""
    opened = open_sessions()
    sessions = AllSessions(
        relay=opened.relay,
        plain=opened.plain,
        engines=opened.targets,
        store=open_store_session(),
        daemons=open_daemon_session(),
        targets=open_target_session(),
    )
    async with sessions.store, sessions.daemons, sessions.targets:
        yield sessions
    await opened.close()


def build_engine(sessions, address):
    """Build the port of an agent to its target."""
    return build_http_engine(
        session=sessions.engines, base_url=f'http://{address}'
    )


def build_platform(sessions, address):
    """Build the client of the platform's engine."""
    return Engine(
        session=sessions.engines, reports=sessions.daemons, address=address
    )


class CutTarget:
    """Server that sends one raw answer to each request, then ends.

    :ivar content: raw answer.
    :ivar first: raw answer to the first request of the next connection, which
        is kept after it; none to end each connection after one answer.
    :ivar reset: whether connections end with a reset.
    :ivar pause: seconds between an answer and the end of its connection.
    :ivar requests: requests that were answered with ``content``.
    :ivar reused: those of them on a connection that had ``first``.
    """

    def __init__(self) -> None:
        self.content = b''
        self.first: bytes | None = None
        self.reset = False
        self.pause = 0.0
        self.requests = 0
        self.reused = 0
        self.address = ''

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        try:
            yield
        finally:
            server.close()

    async def _serve(self, reader, writer) -> None:
        connection = ScriptedConnection(writer=writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            first, self.first = self.first, None
            if first is not None:
                await self._read_request(reader)
                await connection.send(first)
            await self._read_request(reader)
            self.requests += 1
            self.reused += first is not None
            await connection.send(self.content)
            await asyncio.sleep(self.pause)
        if self.reset:
            connection.reset()
        connection.close()

    @staticmethod
    async def _read_request(reader) -> None:
        head = (await reader.readuntil(HEAD_END)).lower()
        _, _, rest = head.partition(b'\r\ncontent-length:')
        await reader.readexactly(int(rest.split(b'\r\n')[0] or 0))


def frame(framing: str, status: int, headers: bytes, body: bytes) -> bytes:
    """Build a raw answer.

    :param headers: further header lines, before that of the framing.
    """
    if framing == 'empty':
        return b'HTTP/1.1 204 No Content\r\n%b\r\n' % headers
    line = b'HTTP/1.1 %d OK\r\n' % status
    if framing == 'length':
        length = b'Content-Length: %d\r\n' % len(body)
        return line + headers + length + b'\r\n' + body
    if framing == 'chunked':
        half = len(body) // 2
        chunks = b''.join(
            b'%x\r\n%b\r\n' % (len(part), part)
            for part in (body[:half], body[half:])
            if part
        )
        coding = b'Transfer-Encoding: chunked\r\n'
        return line + headers + coding + b'\r\n' + chunks + b'0\r\n\r\n'
    return line + headers + b'\r\n' + body


def cut_head(whole: bytes) -> list[bytes]:
    """Return all that may arrive of an answer before its head is whole."""
    return [whole[:end] for end in range(whole.index(HEAD_END) + 4)]


def cut_body(whole: bytes) -> list[bytes]:
    """Return all that may arrive of an answer between its head and its end."""
    start = whole.index(HEAD_END) + 4
    return [whole[:end] for end in range(start, len(whole))]


async def is_whole(answer: AttemptAnswer | EngineAnswer) -> bool:
    """Read a body; return whether it came to its end."""
    try:
        async for _ in answer.body:
            pass
    except (AnswerBrokenError, EngineBrokenError):
        return False
    return True


class CutAnswers:
    """Tests of one path, each position of an answer for itself.

    Subclasses give the answer of the path and one call.

    :cvar headers: complete header lines of the answer.
    :cvar reads_body: false if the status alone is the answer.
    :cvar takes_empty: whether the path takes an answer without a body.
    :cvar shows_cut: whether the body itself shows its end.
    :cvar keeps: whether its session uses a connection again.
    """

    status: ClassVar[int] = 200
    headers: ClassVar[bytes] = b''
    body: ClassVar[bytes] = CHUNK
    reads_body: ClassVar[bool] = True
    takes_empty: ClassVar[bool] = False
    shows_cut: ClassVar[bool] = False
    keeps: ClassVar[bool] = True

    async def _ask(self, sessions, address: str) -> bool:
        """Make one call; return whether its answer was taken as whole."""
        raise NotImplementedError

    def frame(self, framing: str) -> bytes:
        """Build the whole answer."""
        return frame(framing, self.status, self.headers, self.body)

    def find_taken(
        self,
        answers,
        *,
        reset: bool,
        pause: float = 0,
        kept: bytes | None = None,
    ) -> list[bytes]:
        """Return the answers that were taken as whole.

        :param pause: seconds before each end of a connection.
        :param kept: whole answer to a call before, on a connection that the
            target keeps.
        """
        target = CutTarget()
        target.reset = reset
        target.pause = pause
        # The loop of daemons.
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            return runner.run(self._find_taken(target, answers, kept))

    async def _find_taken(self, target, answers, kept) -> list[bytes]:
        taken = []
        async with target.listen(), open_all_sessions() as sessions:
            for content in answers:
                target.content = content
                if kept is not None:
                    target.first = kept
                    assert await self._ask(sessions, target.address)
                answered = target.requests
                if await self._ask(sessions, target.address):
                    taken.append(content)
                assert target.requests > answered
            if kept is not None:
                assert target.reused == (len(answers) if self.keeps else 0)
        return taken

    @pytest.mark.parametrize('framing', [*FRAMINGS, 'empty'])
    def test_whole(self, framing):
        """The answer is taken if nothing is missing."""
        whole = self.frame(framing)
        taken = self.find_taken([whole], reset=False)
        is_taken = framing != 'empty' or self.takes_empty
        assert taken == ([whole] if is_taken else [])

    @pytest.mark.parametrize('framing', [*FRAMINGS, 'empty'])
    def test_head_closed(self, framing):
        """A head that ends with a close at any byte is no answer."""
        cuts = cut_head(self.frame(framing))
        assert not self.find_taken(cuts, reset=False)

    @pytest.mark.parametrize('framing', ['length', 'unframed'])
    def test_head_reset(self, framing):
        """A head that ends with a reset is no answer."""
        cuts = cut_head(self.frame(framing))[::STEP]
        assert not self.find_taken(cuts, reset=True)

    @pytest.mark.parametrize('framing', ['length', 'unframed'])
    def test_head_on_a_kept_connection(self, framing):
        """A later head on a kept connection is no answer either."""
        cuts = cut_head(self.frame(framing))[::STEP]
        kept = self.frame('length')
        assert not self.find_taken(cuts, reset=False, kept=kept)

    def test_head_after_an_interim_answer(self):
        """A head after that of an interim answer is no answer either."""
        cuts = cut_head(self.frame('length'))[::STEP]
        interim = [INTERIM + cut for cut in cuts]
        assert not self.find_taken(interim, reset=False)

    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize('framing', ['length', 'chunked'])
    def test_body(self, framing, reset):
        """A body that ends before its frame is no answer."""
        cuts = cut_body(self.frame(framing))
        taken = self.find_taken(cuts, reset=reset)
        assert taken == ([] if self.reads_body else cuts)

    def test_unframed_body_closed(self):
        """A body without a length that ends early is cut if that shows.

        A close is the regular end of such a body, so that only its content
        may tell.
        """
        cuts = cut_body(self.frame('unframed'))
        taken = self.find_taken(cuts, reset=False)
        shows = self.reads_body and self.shows_cut
        assert taken == ([] if shows else cuts)

    @pytest.mark.parametrize('pause', [0, 0.002])
    def test_unframed_body_reset(self, pause):
        """A body that ends with its connection is not whole after a reset."""
        whole = self.frame('unframed')
        cuts = [*cut_body(whole)[:: STEP if pause else 1], whole]
        taken = self.find_taken(cuts, reset=True, pause=pause)
        assert taken == ([] if self.reads_body else cuts)


class TestAgentAnswer(CutAnswers):
    """Answers of agents to entry daemons."""

    headers = b'x-rc-attempt: a1\r\nx-model-version: v1\r\n'
    takes_empty = True

    async def _ask(self, sessions, address):
        agents = build_http_agents(session=sessions.relay)
        attempt = make_service_attempt(attempt=AttemptId('a1'))
        answer = await agents.start(address, attempt)
        return isinstance(answer, AttemptAnswer) and await is_whole(answer)


class TestAgentRefusal(CutAnswers):
    """Refusals of agents, by which an attempt has not run."""

    status = 503
    headers = b'x-error-code: full\r\nx-outcome: not_run\r\n'
    body = b'{"error":{"code":"full","message":"m","outcome":"not_run"}}'
    shows_cut = True

    async def _ask(self, sessions, address):
        agents = build_http_agents(session=sessions.relay)
        attempt = make_service_attempt(attempt=AttemptId('a1'))
        answer = await agents.start(address, attempt)
        return isinstance(answer, AttemptRefused)


class TestAgentReport(CutAnswers):
    """Reports of agents on an attempt that is barred."""

    body = b'{"attempt":"a1","state":"barred"}'
    shows_cut = True

    async def _ask(self, sessions, address):
        agents = build_http_agents(session=sessions.plain)
        report = await agents.bar(address, AttemptId('a1'), 1)
        return isinstance(report, AttemptReport)


class TestAgentStatus(CutAnswers):
    """Answers of agents to a heartbeat."""

    body = (
        b'{"target":"t","deployment":"d","failure_domain":"f","limit":1,'
        b'"running":0,"queued":0,"leaving":false,"served":[],"generation":1}'
    )
    shows_cut = True

    async def _ask(self, sessions, address):
        agents = build_http_agents(session=sessions.plain)
        beat = Heartbeat(daemon='e-1', sender='', generation=1)
        status = await agents.heartbeat(address, beat)
        return isinstance(status, TargetStatus)


class TestEngineAnswer(CutAnswers):
    """Answers of targets to their agent."""

    headers = b'x-request-id: a1\r\n'
    takes_empty = True
    keeps = False

    async def _ask(self, sessions, address):
        engine = build_engine(sessions, address)
        answer = await engine.start(REQUEST)
        return isinstance(answer, EngineAnswer) and await is_whole(answer)


class TestEngineResume(CutAnswers):
    """Answers of targets that resume a broken one."""

    headers = b'x-resume-from: 1\r\n'
    takes_empty = True
    keeps = False

    async def _ask(self, sessions, address):
        engine = build_engine(sessions, address)
        answer = await engine.resume(REQUEST, 1)
        return isinstance(answer, EngineAnswer) and await is_whole(answer)


class TestEngineState(CutAnswers):
    """Descriptions of targets for their agent."""

    body = b'{"instance":"i","running":0,"bearable":1,"age":0}'
    shows_cut = True
    keeps = False

    async def _ask(self, sessions, address):
        state = await build_engine(sessions, address).describe()
        return isinstance(state, EngineState) and state.instance == 'i'


class TestEngineCancel(CutAnswers):
    """Confirmations of a cancelled request."""

    reads_body = False
    takes_empty = True
    keeps = False

    async def _ask(self, sessions, address):
        return await build_engine(sessions, address).cancel(AttemptId('a1'))


class TestEngineOrder(CutAnswers):
    """Confirmations of an order to an engine."""

    body = b'{}'
    keeps = False

    async def _ask(self, sessions, address):
        order = EngineOrder(
            fencing=FencingNumber(1),
            action=OrderAction.LOAD,
            model=MODEL,
            version=VersionName('v1'),
        )
        outcome = await build_engine(sessions, address).order(order)
        return isinstance(outcome, OrderConfirmed)


class TestEngineChunk(CutAnswers):
    """Confirmations of a chunk that an engine keeps."""

    body = b'{}'
    keeps = False

    async def _ask(self, sessions, address):
        outcome = await build_engine(sessions, address).store_chunk(
            MODEL, VersionName('v1'), None, 0, CHUNK
        )
        return isinstance(outcome, OrderConfirmed)


class TestStoreRead(CutAnswers):
    """Reads of a whole table of the store."""

    body = b'{"rows":[],"row_version":12,"now_ms":34}'
    shows_cut = True

    async def _ask(self, sessions, address):
        store = Store(session=sessions.store, address=address)
        return isinstance(await store.read_table('t'), StoreRows)


class TestStoreChanges(CutAnswers):
    """Reads of the changes of a table of the store."""

    body = b'{"rows":[],"row_version":12,"now_ms":34}'
    shows_cut = True

    async def _ask(self, sessions, address):
        store = Store(session=sessions.store, address=address)
        changes = await store.await_changes(
            't', StorePosition(era=0, revision=1), wait=1, known_at=0
        )
        return isinstance(changes, StoreRows)


class TestStoreWrite(CutAnswers):
    """Acknowledgements of writes to the store, which are a status."""

    body = b'{"row_version":12}'
    reads_body = False

    async def _ask(self, sessions, address):
        store = Store(session=sessions.store, address=address)
        return await store.write_row('t', 'k', b'content')


class TestStoreRemoval(CutAnswers):
    """Acknowledgements of removals by the store, which are a status."""

    body = b'{"row_version":12}'
    reads_body = False

    async def _ask(self, sessions, address):
        store = Store(session=sessions.store, address=address)
        return await store.remove_row('t', 'k')


class TestRelayedRows(CutAnswers):
    """Rows that another daemon relays."""

    body = b'{"rows":[],"revision":12,"age":0.1,"rows_age":0.1}'
    shows_cut = True

    async def _ask(self, sessions, address):
        rows = await fetch_rows(
            session=sessions.daemons,
            address=address,
            path=OPERATORS_PATH,
            after=None,
            era=0,
            wait=1,
        )
        return isinstance(rows, StoreRows)


class TestPeerManifest(CutAnswers):
    """Manifests from another daemon."""

    body = b'{"model":"m","version":2,"digests":["9f2c"]}'
    shows_cut = True

    async def _ask(self, sessions, address):
        manifest = await fetch_manifest(
            session=sessions.daemons,
            reach=PeerReach(),
            addresses=[address],
            model=MODEL,
            version=2,
        )
        return manifest is not None


class TestPeerChunk(CutAnswers):
    """Chunks from another daemon."""

    async def _ask(self, sessions, address):
        content = await fetch_chunk(
            session=sessions.daemons,
            reach=PeerReach(),
            address=address,
            manifest=MANIFEST,
            index=0,
        )
        return content is not None


class TestOriginManifest(CutAnswers):
    """Manifests from the platform's origin."""

    body = b'{"version":2,"digests":["9f2c"]}'
    shows_cut = True

    async def _ask(self, sessions, address):
        source = WeightSource(session=sessions.daemons)
        return await source.read_manifest(address, MODEL, 2) is not None


class TestOriginChunk(CutAnswers):
    """Chunks from the platform's origin."""

    async def _ask(self, sessions, address):
        source = WeightSource(session=sessions.daemons)
        return await source.read_chunk(address, MANIFEST, 0) is not None


class TestAgentOrigin(CutAnswers):
    """Chunks and manifests from the origin of agents."""

    async def _ask(self, sessions, address):
        origin = build_http_origin(
            session=sessions.plain, base_url=f'http://{address}'
        )
        read = await origin.read_chunk(MODEL, VersionName('v1'), 0)
        return isinstance(read, OriginContent)


class TestOriginWrite(CutAnswers):
    """Acknowledgements of chunks by the origin, which are a status."""

    reads_body = False
    takes_empty = True

    async def _ask(self, sessions, address):
        writer = build_http_writer(
            session=sessions.plain, base_url=f'http://{address}'
        )
        outcome = await writer.write_chunk(MODEL, VersionName('v1'), 0, CHUNK)
        return isinstance(outcome, OriginStored)


class TestOriginReservation(CutAnswers):
    """Digests for which the origin has a name reserved."""

    takes_empty = True

    async def _ask(self, sessions, address):
        writer = build_http_writer(
            session=sessions.plain, base_url=f'http://{address}'
        )
        outcome = await writer.reserve_version(
            MODEL, VersionName('v1'), Sha256Hex(CHUNK.decode())
        )
        return isinstance(outcome, OriginStored | VersionTaken)


class TestAgentChunk(CutAnswers):
    """Chunks from another agent."""

    async def _ask(self, sessions, address):
        request = ChunkRequest(manifest=Sha256Hex('d'), index=0, sender='e-1')
        peers = build_http_peers(session=sessions.plain)
        answer = await peers.fetch(address, request)
        return isinstance(answer, ChunkContent)


class TestReport(CutAnswers):
    """Reports of the platform's engine."""

    body = b'{"busy":false,"running":12}'
    shows_cut = True

    async def _ask(self, sessions, address):
        return await build_platform(sessions, address).read_report() is not None


class TestStagedChunks(CutAnswers):
    """Lists of the chunks that the platform's engine has."""

    body = b'{"held":[12,3]}'
    shows_cut = True
    keeps = False

    async def _ask(self, sessions, address):
        return bool(await build_platform(sessions, address).list_staged(MODEL))


class TestStagedChunk(CutAnswers):
    """Chunks that are read back from the platform's engine."""

    keeps = False

    async def _ask(self, sessions, address):
        engine = build_platform(sessions, address)
        return await engine.read_staged(MODEL, 0) is not None


class TestStage(CutAnswers):
    """Acknowledgements of a chunk by the platform's engine."""

    body = b'{}'
    takes_empty = True
    keeps = False

    async def _ask(self, sessions, address):
        engine = build_platform(sessions, address)
        return await engine.write_staged(MODEL, 0, CHUNK)


class TestLoadOrder(CutAnswers):
    """Acknowledgements of an order by the platform's engine."""

    status = 202
    body = b'{}'
    keeps = False

    async def _ask(self, sessions, address):
        engine = build_platform(sessions, address)
        outcome = await engine.order_load(MODEL, 2, None)
        return outcome not in {
            LoadOrderOutcome.FAILED,
            LoadOrderOutcome.UNANSWERED,
        }


class TestTableRead(CutAnswers):
    """Rows of the table service."""

    body = b'{"row":{"key":"a","version":12,"content":""}}'
    shows_cut = True

    async def _ask(self, sessions, address):
        table = build_http_table(
            session=sessions.plain, base_url=f'http://{address}'
        )
        return isinstance(await table.read(WRITE.key), RowRead)


class TestTableCommit(CutAnswers):
    """Outcomes of transactions of the table service."""

    body = b'{"committed":true}'
    shows_cut = True

    async def _ask(self, sessions, address):
        table = build_http_table(
            session=sessions.plain, base_url=f'http://{address}'
        )
        return not isinstance(await table.commit((WRITE,)), CommitUnknown)


class TestObjectRead(CutAnswers):
    """Objects of the object store."""

    takes_empty = True

    async def _ask(self, sessions, address):
        objects = build_http_objects(
            session=sessions.plain, base_url=f'http://{address}'
        )
        return isinstance(await objects.read(ObjectName('o')), ObjectRead)


class TestObjectAbsent(TestObjectRead):
    """Answers by which the object store lacks an object."""

    status = 404


class TestObjectWrite(CutAnswers):
    """Acknowledgements of the object store."""

    takes_empty = True

    async def _ask(self, sessions, address):
        objects = build_http_objects(
            session=sessions.plain, base_url=f'http://{address}'
        )
        written = await objects.write(ObjectName('o'), CHUNK)
        return isinstance(written, ObjectWritten)


class TestTargetAnswer(CutAnswers):
    """Answers of targets to the forwarder."""

    headers = b'Ragwortcourse-Server-Stamp: 3e1b.07\r\n'
    takes_empty = True
    keeps = False

    async def _ask(self, sessions, address):
        try:
            response = await sessions.targets.post(
                f'http://{address}/', data=b'call'
            )
            await OpenAnswer(head=None, response=response).read_whole()
        except (aiohttp.ClientError, AnswerCutError):
            return False
        return True


class TestCallerOfAgent(CutAnswers):
    """Answers of targets that pass an agent and an entry daemon."""

    headers = b'x-request-id: a1\r\n'
    takes_empty = True
    keeps = False

    attempt = make_service_attempt(attempt=AttemptId('a1'))

    async def _ask(self, sessions, address):
        agent = make_agent(build_engine(sessions, address))
        attempt = self.attempt
        agents = build_http_agents(session=sessions.relay)
        routes = build_agent_routes(
            agent=agent,
            daemon_port=DaemonPort(
                fetch_index=None, fetch_part=None, exchange=None
            ),
        )

        async def relay(request):
            answer = await agents.start(f'127.0.0.1:{own.port}', attempt)
            if not isinstance(answer, AttemptAnswer):
                return web.Response(status=502)
            return await write_answer(
                request,
                CallAnswer(
                    request=attempt.request,
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body,
                ),
            )

        app = web.Application()
        app.add_routes([*routes, web.post('/call', relay)])
        async with TestServer(app) as own:
            caller = RawCaller(port=own.port)
            await caller.open()
            reply = await caller.ask('/call', [('Host', 'h')], [(0, b'{}')])
            caller.close()
        # It would ask its silent target for its state on and on.
        await agent.stop()
        return reply.status != 502 and reply.is_whole


class TestStreamOfAgent(TestCallerOfAgent):
    """Streams of models that pass an agent and an entry daemon."""

    headers = (
        b'x-request-id: a1\r\nx-model-version: v1\r\n'
        b'Content-Type: text/event-stream\r\n'
    )
    body = b'data: a\n\ndata: [DONE]\n\n'
    shows_cut = True
    attempt = make_attempt(attempt=AttemptId('a1'))


class TestOtherLineEnds(TestStreamOfAgent):
    """The same streams with other line ends."""

    body = TestStreamOfAgent.body.replace(b'\n', b'\r\n')


class TestCallerOfForwarder:
    """Answers of targets without a length that pass a forwarder."""

    @pytest.mark.parametrize('missing', [*range(1, 8), 20])
    @pytest.mark.parametrize('path', [LOOK, LETTER])
    async def test_head(self, path, missing):
        """A head without its last bytes gives its caller no success."""

        async def answer(received, connection):
            await connection.send(
                b'HTTP/1.1 200 OK\r\nRagwortcourse-Attempt-Id: %b\r\n'
                b'Ragwortcourse-Server-Stamp: 3e1b.07\r\n\r\n'[:-missing]
                % received.attempt.encode()
            )
            connection.close()

        assert await self._ask(answer, path) == 502

    @pytest.mark.parametrize('body', [b'', b'id: 0\ndata: word0\n\n'])
    @pytest.mark.parametrize('path', [LOOK, LETTER])
    async def test_body_reset(self, path, body):
        """A body that is reset gives its caller no whole success."""

        async def answer(received, connection):
            await connection.begin(received)
            await connection.send(body)
            connection.reset()

        assert await self._ask(answer, path) in {502, None}

    @staticmethod
    async def _ask(answer, path) -> int | None:
        """Return the status of a whole answer; none if it is broken off."""
        fleet = ForwarderFleet(answer=answer)
        async with fleet.exit_stack:
            await fleet.open(targets=1, forwarders=1, plain=path == LOOK)
            with contextlib.suppress(aiohttp.ClientError):
                status = (await fleet.ask(0, b'call', path)).status
                assert fleet.arrivals
                return status
            return None

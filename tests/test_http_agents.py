"""Tests of :mod:`ragwortcourse.entry.http_agents`."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import pytest

from ragwortcourse.entry.http_agents import build_http_agents
from ragwortcourse.identifiers import (
    AttemptId,
    ClientAccountName,
    DeploymentName,
    Generation,
    RequestId,
    VersionName,
)
from ragwortcourse.messages.attempt import (
    AnswerBrokenError,
    Attempt,
    AttemptAnswer,
    AttemptLost,
    AttemptOutcome,
    AttemptRefused,
    AttemptUnreached,
)
from ragwortcourse.messages.attempt_report import AttemptReport, AttemptState
from ragwortcourse.messages.outcome import NotRun, Unknown
from ragwortcourse.messages.peer_port import AgentPort, PeerUnavailable

ATTEMPT = Attempt(
    attempt=AttemptId('a1'),
    request=RequestId('r1'),
    account=ClientAccountName('studio'),
    weight=1,
    deployment=DeploymentName('caption-llm'),
    generation=Generation(1),
    sender='127.0.0.1:1',
    idempotent=True,
    method='POST',
    path='/v1/completions',
    headers={},
    body=b'{}',
    time_left=5,
    fingerprint='f',
)
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-rc-spare: 3\r\nx-rc-generation: 7\r\n'
    b'x-model-version: v2\r\n'
)
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
LENGTH = HEAD + b'content-length: 7\r\n\r\n'
WHOLE = (200, b'one two', True)


def name_attempt(raw: bytes, attempt: str) -> bytes:
    """Add the id of an attempt to the HTTP answer of an agent."""
    named = b'\r\nx-rc-attempt: %b\r\n' % attempt.encode()
    return raw.replace(b'\r\n', named, 1)


def make_refusal(outcome: str, body: bytes | None = None) -> bytes:
    """Build the HTTP answer of an agent that refuses an attempt."""
    if body is None:
        body = b'{"error":{"code":"full","message":"m","outcome":"%b"}}' % (
            outcome.encode()
        )
    return (
        b'HTTP/1.1 503 No\r\nx-error-code: full\r\nx-outcome: %b\r\n'
        b'x-rc-suspect: 1\r\ncontent-length: %d\r\n\r\n%b'
        % (outcome.encode(), len(body), body)
    )


@contextlib.asynccontextmanager
async def serve(raw: bytes | None):
    """Yield a port and the address of an agent that sends raw bytes.

    The agent closes the connection after the bytes.

    :param raw: bytes of the answer; none for an address without a listener.
    """

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(raw)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    if raw is None:
        server.close()
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        yield build_http_agents(session=session), f'{host}:{port}'
    server.close()


async def describe(outcome: AttemptOutcome) -> tuple[int, bytes, bool] | type:
    """Return status, body and whether it is whole, or the failure type."""
    if not isinstance(outcome, AttemptAnswer):
        return type(outcome)
    body = b''
    try:
        async for chunk in outcome.body:
            body += chunk
    except AnswerBrokenError:
        return outcome.status, body, False
    return outcome.status, body, True


class TestStart:
    """Answers of agents that break at different points."""

    @pytest.mark.parametrize(
        ('raw', 'expected'),
        [
            (None, AttemptUnreached),
            (b'', AttemptLost),
            (HEAD, AttemptLost),
            (b'garbage\r\n\r\n', AttemptLost),
            (CHUNKED, (200, b'', False)),
            (CHUNKED + b'3\r\none\r\n', (200, b'one', False)),
            (CHUNKED + b'7\r\none', (200, b'one', False)),
            (CHUNKED + b'7\r\none two\r\n', (200, b'one two', False)),
            (CHUNKED + b'7\r\none two\r\n0\r\n\r\n', WHOLE),
            (LENGTH + b'one', (200, b'one', False)),
            (LENGTH + b'one two', WHOLE),
            (make_refusal('not_run', b'{"err'), AttemptLost),
            (make_refusal('not_run', b'[]'), AttemptLost),
        ],
    )
    async def test_break_is_seen(self, raw, expected):
        """A truncated answer never looks whole.

        A failed connection is told apart from a lost answer, because only
        the former proves that the attempt was not sent.
        """
        async with serve(raw) as (port, address):
            assert (
                await describe(await port.start(address, ATTEMPT)) == expected
            )

    @pytest.mark.parametrize(
        'address', ['', '127.0.0.1:99999', '[::1:80', 'x..y:80']
    )
    async def test_address_that_is_none(self, address):
        """Nothing is sent to an address that can't be one."""
        async with aiohttp.ClientSession() as session:
            port = build_http_agents(session=session)
            outcome = await port.start(address, ATTEMPT)
            report = await port.bar(address, ATTEMPT.attempt, 1)
        assert isinstance(outcome, AttemptUnreached)
        assert isinstance(report, PeerUnavailable)

    async def test_body_closed_unread_ends_the_connection(self):
        """Closing a body before its first chunk closes the connection.

        Otherwise, the agent would not notice that the answer is not read.
        """
        closed = asyncio.Event()

        async def answer(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(CHUNKED)
            await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        host, number = server.sockets[0].getsockname()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            port = build_http_agents(session=session)
            outcome = await port.start(f'{host}:{number}', ATTEMPT)
            await outcome.body.aclose()
            await asyncio.wait_for(closed.wait(), timeout=5)
        server.close()

    async def test_state_of_the_gate_comes_along(self):
        """An answer has the model version, spare permits and generation.

        Internal ``x-rc-`` headers are not relayed.
        """
        async with serve(LENGTH + b'one two') as (port, address):
            answer = await port.start(address, ATTEMPT)
            assert isinstance(answer, AttemptAnswer)
            assert answer.version == VersionName('v2')
            assert (answer.spare, answer.generation) == (3, 7)
            assert not [name for name in answer.headers if 'x-rc' in name]

    @pytest.mark.parametrize(
        ('outcome', 'kind'), [('not_run', NotRun), ('unknown', Unknown)]
    )
    async def test_refusal_keeps_its_outcome(self, outcome, kind):
        """A refusal has the outcome and suspicion that the agent reported."""
        async with serve(make_refusal(outcome)) as (port, address):
            refused = await port.start(address, ATTEMPT)
            assert isinstance(refused, AttemptRefused)
            assert isinstance(refused.outcome, kind)
            assert refused.suspect


class TestOtherAttempt:
    """Answers that name another attempt: the sent one may have run."""

    @pytest.mark.parametrize(
        'raw',
        [
            make_refusal('not_run'),
            make_refusal('unknown'),
            LENGTH + b'one two',
            CHUNKED + b'7\r\none two\r\n0\r\n\r\n',
        ],
    )
    async def test_is_lost(self, raw):
        """Neither an answer nor a refusal of another attempt counts."""
        async with serve(name_attempt(raw, 'a0')) as (port, address):
            outcome = await port.start(address, ATTEMPT)
            assert isinstance(outcome, AttemptLost)
            assert 'a0' in outcome.detail

    async def test_own(self):
        """A refusal that names the attempt counts."""
        raw = name_attempt(make_refusal('not_run'), 'a1')
        async with serve(raw) as (port, address):
            refused = await port.start(address, ATTEMPT)
            assert isinstance(refused, AttemptRefused)

    async def test_earlier_refusal_on_a_kept_connection(self):
        """A refusal that is sent once more refuses no later attempt."""
        refusal = name_attempt(make_refusal('not_run'), 'a1')
        connections = []

        async def answer(reader, writer):
            connections.append(writer)
            for _ in range(2):
                await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(len(ATTEMPT.body))
                writer.write(refusal)
                await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        host, number = server.sockets[0].getsockname()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            port = build_http_agents(session=session)
            first = await port.start(f'{host}:{number}', ATTEMPT)
            assert isinstance(first, AttemptRefused)
            later = dataclasses.replace(ATTEMPT, attempt=AttemptId('a2'))
            outcome = await port.start(f'{host}:{number}', later)
        server.close()
        assert len(connections) == 1
        assert isinstance(outcome, AttemptLost)


class TestBar:
    """Reports of agents on attempts."""

    @pytest.mark.parametrize('state', ['barred', 'refused', 'completed'])
    async def test_other_attempt(self, state):
        """A report on another attempt proves nothing."""
        body = b'{"attempt":"a0","state":"%b"}' % state.encode()
        raw = b'HTTP/1.1 200 OK\r\n\r\n%b' % body
        async with serve(raw) as (port, address):
            report = await port.bar(address, AttemptId('a1'), 1)
            assert isinstance(report, PeerUnavailable)

    @pytest.mark.parametrize(
        ('raw', 'expected'),
        [
            (
                b'HTTP/1.1 200 OK\r\n\r\n{"attempt":"a1","state":"barred"}',
                AttemptReport(
                    attempt=AttemptId('a1'), state=AttemptState.BARRED
                ),
            ),
            (b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}', None),
            (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}', None),
            (b'HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n', None),
            (b'', None),
            (None, None),
        ],
    )
    async def test_only_whole_reports_count(self, raw, expected):
        """A truncated or malformed report counts as no report."""
        port: AgentPort
        async with serve(raw) as (port, address):
            report = await port.bar(address, AttemptId('a1'), 1)
            if expected is None:
                assert isinstance(report, PeerUnavailable)
            else:
                assert report == expected

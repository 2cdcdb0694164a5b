"""Tests of :mod:`ragwortcourse.entry.callers`."""

import asyncio
import contextlib

import msgspec
import pytest
from aiohttp import ClientPayloadError, web
from aiohttp.test_utils import TestClient, TestServer
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from yarl import URL

from fakes.entries import API_KEY, MODEL, make_entry, make_record
from fakes.scripted_agents import ScriptedAgents, ScriptedResult
from ragwortcourse.entry.call_reader import BODY_LIMIT_BYTES
from ragwortcourse.entry.callers import build_caller_routes
from ragwortcourse.messages.error_body import ErrorBody
from ragwortcourse.messages.outcome import OutcomeKind

KEY = {'authorization': f'Bearer {API_KEY}'}
BODY = b'{"model":"%b"}' % MODEL.encode()
CHAT = '/v1/chat/completions'
BAD = 'bad_request'
BOOKINGS = '/services/booking-app/bookings'
DEEP = b'{"messages":%s}' % (b'[' * 100_000)
LARGE = b' ' * (BODY_LIMIT_BYTES + 1)
NESTED = b'[' * 100_000
LATIN = 'a=caf\xe9'
ANSWER_SECONDS = 0.2


@contextlib.asynccontextmanager
async def serve(agents: ScriptedAgents | None = None):
    """Yield a client of an entry daemon on loopback."""
    agents = agents or ScriptedAgents()
    entry = make_entry(
        agents.build_port(),
        make_record('m', deployment='caption-llm'),
        make_record('s'),
    )
    app = web.Application()
    app.add_routes(build_caller_routes(entry=entry))
    async with TestClient(TestServer(app, host='127.0.0.1')) as client:
        yield client


class TestErrors:
    """Refused requests."""

    @pytest.mark.parametrize(
        ('method', 'path', 'fields', 'body', 'status', 'code'),
        [
            ('POST', CHAT, {}, BODY, 401, 'unknown_api_key'),
            ('POST', CHAT, KEY, b'', 400, BAD),
            ('POST', CHAT, KEY, b'[1]', 400, BAD),
            ('POST', CHAT, KEY, b'{"model":7}', 400, BAD),
            ('POST', CHAT, KEY, b'{"model":"x","a":' + NESTED, 400, BAD),
            ('POST', CHAT, KEY, b'{"model":"\xff"}', 400, BAD),
            ('POST', CHAT, KEY, DEEP, 400, BAD),
            ('POST', CHAT, KEY, b'{"model":"x"}', 404, 'unknown_model'),
            ('POST', '/services/x/y', KEY, b'', 404, 'unknown_service'),
            ('GET', '/v1/nothing', KEY, b'', 404, 'unknown_path'),
            ('POST', CHAT, KEY | {'x-deadline-ms': 'nan'}, BODY, 400, BAD),
            ('POST', CHAT, KEY | {'x-deadline-ms': '-1'}, BODY, 400, BAD),
            ('POST', CHAT, KEY | {'x-priority': '1e3'}, BODY, 400, BAD),
            ('POST', CHAT, KEY | {'x-idempotent': 'no'}, BODY, 400, BAD),
            ('POST', CHAT, KEY | {'idempotency-key': ''}, BODY, 400, BAD),
            ('POST', CHAT, KEY, LARGE, 413, 'body_too_large'),
        ],
    )
    async def test_code_and_outcome(
        self, method, path, fields, body, status, code
    ):
        """A refusal has a status, a stable code and the outcome not run."""
        async with serve() as client:
            answer = await client.request(
                method, path, headers=fields, data=body
            )
            assert (answer.status, answer.headers['x-error-code']) == (
                status,
                code,
            )
            error = msgspec.json.decode(await answer.read(), type=ErrorBody)
            assert error.error.outcome is OutcomeKind.NOT_RUN


class TestAnswers:
    """Answers that callers receive."""

    async def test_whole_stream(self):
        """A whole stream is relayed with model version and request id."""
        async with serve() as client:
            answer = await client.post(CHAT, headers=KEY, data=BODY)
            assert await answer.read() == b'one two'
            assert answer.headers['x-model-version'] == 'v2'
            assert answer.headers['x-request-id'].startswith('entry-1-')

    async def test_api_key_goes_no_further(self):
        """The caller's API key does not reach the target.

        A caller's ``x-rc-account`` is dropped too, and the escapes of the
        path are forwarded unchanged.
        """
        agents = ScriptedAgents()
        async with serve(agents) as client:
            fields = KEY | {'x-rc-account': 'other', 'x-mine': 'kept'}
            path = '/services/booking-app/a%20b/c?d=e%2F'
            await client.get(URL(path, encoded=True), headers=fields)
        (_, attempt) = agents.sent[0]
        assert attempt.path == '/a%20b/c?d=e%2F'
        assert attempt.headers['x-mine'] == 'kept'
        assert not {'authorization', 'x-rc-account'} & set(attempt.headers)

    @pytest.mark.parametrize(
        ('path', 'fields', 'status'),
        [
            (CHAT, {'baggage': LATIN}, 200),
            (CHAT, {'tracestate': LATIN}, 200),
            (CHAT, {'x-other': LATIN}, 200),
            (BOOKINGS, {'idempotency-key': LATIN}, 200),
            (CHAT, {'authorization': f'Bearer {LATIN}'}, 401),
        ],
    )
    async def test_header_that_is_not_utf_8(self, path, fields, status):
        """Callers whose headers are not UTF-8 are answered, too."""
        fields = KEY | {'content-length': len(BODY)} | fields
        lines = [f'POST {path} HTTP/1.1', 'host: h']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join(lines).encode('latin-1')
        async with serve() as client:
            raw = await exchange(client.server.port, head + b'\r\n\r\n' + BODY)
        assert raw.startswith(b'HTTP/1.1 %d ' % status)

    async def test_broken_stream_says_so(self):
        """A stream that breaks ends with an error event and a cut connection.

        A regular end of the HTTP message would make the truncated stream
        look complete to the caller.
        """
        agents = ScriptedAgents()
        agents.script('m', ScriptedResult.SHORT)
        async with serve(agents) as client:
            answer = await client.post(CHAT, headers=KEY, data=BODY)
            got = b''
            with contextlib.suppress(ClientPayloadError):
                async for chunk in answer.content.iter_any():
                    got += chunk
                pytest.fail('the stream has an end')
            assert got.startswith(b'one \n\nevent: error\ndata: {"error":')
            assert b'"outcome":"unknown"' in got


FIELD = st.sampled_from(
    [
        'x-deadline-ms',
        'x-priority',
        'idempotency-key',
        'x-idempotent',
        'authorization',
        'content-length',
        'transfer-encoding',
        'content-encoding',
        'traceparent',
        'tracestate',
        'baggage',
        'x-api-key',
    ]
)
TEXT = st.one_of(
    st.sampled_from(['0', '-1', '9' * 30, 'chunked', 'gzip', 'true', '']),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=40),
)
LATIN_TEXT = st.text(
    st.characters(min_codepoint=160, max_codepoint=255), max_size=40
)
FIELDS = st.one_of(
    st.tuples(FIELD, st.one_of(TEXT, LATIN_TEXT)),
    # aiohttp itself refuses other expectations, in a text that repeats them.
    st.tuples(st.just('expect'), TEXT),
)
PATH = st.sampled_from(
    [
        CHAT,
        '/v1/models',
        '/services/booking-app',
        '/services/booking-app/bookings?x=%zz',
        '/services/%2e%2e/%00',
        '//',
    ]
)
REQUESTS = st.tuples(
    st.sampled_from(['GET', 'POST', 'PUT', 'HEAD', 'BREW']),
    PATH,
    st.lists(FIELDS, max_size=4),
    st.one_of(
        st.just(BODY),
        st.binary(max_size=60),
        st.just(b'[' * 3000),
        st.just(b'{"model":' + NESTED),
        st.just(b'5\r\nabc'),
    ),
)


async def exchange(port: int, raw: bytes) -> bytes:
    """Send raw bytes and return the head of the answer.

    The sending side stays open, as the daemon answers no caller that has
    closed it.

    :return: empty if there is no answer, as the request is not complete.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(raw)
        async with asyncio.timeout(ANSWER_SECONDS):
            return await reader.readuntil(b'\r\n\r\n')
    except (TimeoutError, asyncio.IncompleteReadError):
        return b''
    finally:
        writer.close()


class TestMalformedRequests:
    """Malformed HTTP requests and header values."""

    @settings(
        derandomize=True,
        max_examples=150,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(REQUESTS, min_size=5, max_size=5))
    def test_daemon_goes_on(self, requests):
        """No request gets a status of 500 or above, and the daemon goes on.

        A malformed request may get no answer; a valid request after it is
        served.
        """

        async def send_all():
            async with serve() as client:
                port = client.server.port
                for method, path, fields, body in requests:
                    lines = [f'{method} {path} HTTP/1.1', 'host: h']
                    lines += [f'{name}: {text}' for name, text in fields]
                    if not {'content-length', 'transfer-encoding'} & {
                        name for name, _ in fields
                    }:
                        lines.append(f'content-length: {len(body)}')
                    head = '\r\n'.join(lines).encode('latin-1')
                    raw = await exchange(port, head + b'\r\n\r\n' + body)
                    if raw:
                        assert int(raw.split(b' ', 2)[1]) < 500, raw
                answer = await client.post(CHAT, headers=KEY, data=BODY)
                assert await answer.read() == b'one two'

        asyncio.run(send_all())

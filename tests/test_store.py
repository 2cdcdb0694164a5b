"""Tests of the client of the platform's store."""

import asyncio
import contextlib
import json

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from ragwortcourse.platform.store import CALL_SECONDS, Store
from ragwortcourse.platform.store_row import StoreRows, StoreSilent

WRITES = 8
DEEP = b'[' * 100_000 + b']' * 100_000
ROWS = {
    'rows': [{'key': 'a', 'value': 'eA=='}],
    'row_version': 3,
    'has_more': False,
}


async def read_from(handler) -> object:
    """Read a table from a store with this handler."""
    app = web.Application()
    app.add_routes([web.get('/rows-get', handler)])
    async with contextlib.AsyncExitStack() as stack:
        server = TestServer(app)
        await server.start_server()
        stack.push_async_callback(server.close)
        session = await stack.enter_async_context(ClientSession())
        store = Store(session=session, address=f'127.0.0.1:{server.port}')
        return await store.read_table('t')


class TestLongAnswers:
    """Answers that take longer than the usual time limit of a call."""

    async def test_goes_on_arriving(self):
        """A long answer over a full line succeeds while data arrives.

        Incident: 1,640 routes were added to a desired state. The daemons of
        two regions aborted each answer while it arrived and read it again,
        and none had the desired state for ten seconds.
        """

        async def send_slowly(request):
            response = web.StreamResponse()
            await response.prepare(request)
            body = json.dumps(ROWS).encode()
            length = len(body) // WRITES + 1
            for start in range(0, len(body), length):
                await response.write(body[start : start + length])
                await asyncio.sleep(CALL_SECONDS * 1.4 / WRITES)
            return response

        answer = await read_from(send_slowly)
        assert isinstance(answer, StoreRows)
        assert answer.revision == 3

    async def test_falls_silent(self):
        """An answer that stops half-way fails after the usual time limit."""

        async def fall_silent(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b'{')
            await asyncio.sleep(CALL_SECONDS * 2)
            return response

        async with asyncio.timeout(CALL_SECONDS * 1.5):
            answer = await read_from(fall_silent)
        assert isinstance(answer, StoreSilent)


class TestOddAnswers:
    """Answers that are not, or not wholly, rows."""

    @pytest.mark.parametrize(
        'content', [b'', b'[]', b'\xff', b'{"rows":%s' % (b'[' * 100_000)]
    )
    async def test_unreadable(self, content):
        """An answer that can't be read counts as none."""

        async def send(request):
            return web.Response(body=content)

        assert isinstance(await read_from(send), StoreSilent)

    @pytest.mark.parametrize(
        'odd',
        [
            b'{"key":"odd","value":1}',
            b'{"key":"odd","value":null}',
            b'{"key":"odd","value":{"a":"]}"}}',
            b'{"key":"odd","value":%s}' % DEEP,
            b'{"key":"odd","value":"eA==","other":%s}' % DEEP,
            b'{"key":"odd","value":"\xff"}',
        ],
    )
    async def test_odd_row_hides_the_others(self, odd):
        """The rows beside an odd one are read; it keeps its key."""

        async def send(request):
            rows = b'{"key":"a","value":"eA=="},%s,{"key":"z","value":"eA=="}'
            return web.Response(
                body=b'{"rows":[%s],"row_version":3}' % (rows % odd)
            )

        answer = await read_from(send)
        assert isinstance(answer, StoreRows)
        assert answer.revision == 3
        assert [row.key for row in answer.rows] == ['a', 'odd', 'z']
        assert answer.rows[0].content == answer.rows[2].content == b'x'

    @pytest.mark.parametrize(
        'odd', [b'1', b'{"value":"eA=="}', b'{"key":[]}', DEEP]
    )
    async def test_row_without_a_key(self, odd, caplog):
        """A row that names no key is logged, and the others are read."""

        async def send(request):
            return web.Response(
                body=b'{"rows":[{"key":"a","value":"eA=="},%s],"row_version":3}'
                % odd
            )

        answer = await read_from(send)
        assert [row.key for row in answer.rows] == ['a']
        assert 'row of the store without a key' in caplog.text

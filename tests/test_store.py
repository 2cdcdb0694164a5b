"""Tests of the client of the platform's store."""

import asyncio
import contextlib
import json

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from ragwortcourse.platform.store import CALL_SECONDS, Store
from ragwortcourse.platform.store_row import StoreRows, StoreSilent

PIECES = 8
ROWS = {
    'rows': [{'key': 'a', 'value': 'eA=='}],
    'row_version': 3,
    'has_more': False,
}


async def read_from(handler) -> object:
    """What a client makes of a store's answers."""
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
    """Answers that take longer than a call usually may."""

    async def test_goes_on_arriving(self):
        """An answer over a full line is waited for while it comes.

        Incident: after a desired state of 1,640 routes more, the daemons of
        two regions read it from the store again and again, gave each answer
        up on the way, and none had it for ten seconds.
        """

        async def send_slowly(request):
            response = web.StreamResponse()
            await response.prepare(request)
            body = json.dumps(ROWS).encode()
            length = len(body) // PIECES + 1
            for start in range(0, len(body), length):
                await response.write(body[start : start + length])
                await asyncio.sleep(CALL_SECONDS * 1.4 / PIECES)
            return response

        answer = await read_from(send_slowly)
        assert isinstance(answer, StoreRows)
        assert answer.revision == 3

    async def test_falls_silent(self):
        """One that stops on the way is given up after the usual time."""

        async def fall_silent(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b'{')
            await asyncio.sleep(CALL_SECONDS * 2)
            return response

        async with asyncio.timeout(CALL_SECONDS * 1.5):
            answer = await read_from(fall_silent)
        assert isinstance(answer, StoreSilent)

"""Tests of the stand-in of the platform's store."""

import asyncio
import contextlib

import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from fakes.fleet_store import ERA_HEADER, GONE, OK, FleetStore

REWRITE_SECONDS = 0.2


@pytest.fixture
async def opened():
    """A store with a row, a copy of it, and a function that calls it."""
    store = FleetStore()
    async with contextlib.AsyncExitStack() as stack:
        server = TestServer(store.build_app())
        await server.start_server()
        stack.push_async_callback(server.close)
        session = await stack.enter_async_context(ClientSession())

        async def feed(after: int, wait_ms: int = 0):
            query = {'table': 'op', 'after_rev': after, 'wait_ms': wait_ms}
            url = f'http://127.0.0.1:{server.port}/rows-feed'
            async with session.get(url, params=query) as response:
                content = await response.read()
                return response.status, response.headers[ERA_HEADER], content

        store.put('op', 'config', b'1')
        await asyncio.sleep(0.1)
        yield store, feed


class TestRestore:
    """A store that comes back from an older copy."""

    async def test_goes_back(self, opened):
        """Rows and versions go back, and the era rises."""
        store, feed = opened
        store.put('op', 'config', b'2')
        store.put('daemons', 'entry-1', b'x')
        store.restore(0.05, rewrite_after=REWRITE_SECONDS)
        assert store.read('op', 'config') == b'1'
        assert store.read('daemons', 'entry-1') is None
        assert store.revision == 1
        status, era, _ = await feed(1)
        assert (status, era) == (OK, '2')

    async def test_version_not_given_out(self, opened):
        """A read from a version that was taken back gets 410."""
        store, feed = opened
        store.put('op', 'config', b'2')
        store.restore(0.05, rewrite_after=REWRITE_SECONDS)
        status, era, _ = await feed(2)
        assert (status, era) == (GONE, '2')
        store.put('op', 'evacuate/near-a', b'{}')
        status, _, _ = await feed(2)
        assert status == OK

    async def test_written_again(self, opened):
        """Operators and targets write again, the system does not."""
        store, _ = opened
        store.put('op', 'config', b'2')
        store.put('op', 'evacuate/near-a', b'{}')
        store.put('daemons', 'entry-1', b'x')
        store.drop('op', 'config')
        store.restore(0.05, rewrite_after=REWRITE_SECONDS)
        store.put('op', 'evacuate/near-a', b'newer')
        await asyncio.sleep(REWRITE_SECONDS + 0.1)
        assert store.read('op', 'config') is None
        assert store.read('op', 'evacuate/near-a') == b'newer'
        assert store.read('daemons', 'entry-1') is None

    async def test_restored_twice(self, opened):
        """What was lost last is written again, not what was lost first."""
        store, _ = opened
        store.put('op', 'config', b'2')
        store.restore(0.05, rewrite_after=REWRITE_SECONDS)
        store.put('op', 'config', b'3')
        store.restore(0.05, rewrite_after=0)
        await asyncio.sleep(REWRITE_SECONDS + 0.1)
        assert store.read('op', 'config') == b'3'

    async def test_waiting_calls(self, opened):
        """A call that waits for a change fails with the former process."""
        store, feed = opened
        waiting = asyncio.ensure_future(feed(1, wait_ms=5000))
        await asyncio.sleep(0.1)
        store.restore(0.05, rewrite_after=REWRITE_SECONDS)
        with pytest.raises(KeyError):
            await waiting


class TestWait:
    """Calls that wait for a change."""

    @pytest.mark.looptime
    async def test_change_at_the_end_of_a_wait(self):
        """A row that is written as a wait ends is in the answer.

        The answer states the revision of that row, so that it would never be
        read.
        """
        fake = FleetStore()
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, fake.put, 'op', 'config', {'version': 2})
        rows = await fake.await_rows('op', 0, 0.5)
        assert [row['key'] for row in rows] == ['config']

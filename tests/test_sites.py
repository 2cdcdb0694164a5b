"""Tests of :mod:`ragwortcourse.processes.sites`."""

import aiohttp
from aiohttp import web

from fakes.ports import pick_address
from ragwortcourse.processes.sites import open_site


async def greet(request: web.Request) -> web.Response:
    """Answer something."""
    return web.Response(text='hello')


class TestLeaving:
    """Connections that callers keep while a daemon leaves."""

    async def test_each_answer_is_the_last_of_its_connection(self):
        """A caller that heard of nothing is told to open another one."""
        leaving = []
        address = pick_address()
        runner = await open_site(
            address=address,
            routes=[web.get('/', greet)],
            is_leaving=lambda: bool(leaving),
        )
        told = []
        async with aiohttp.ClientSession() as session:
            for step in (None, 'leave'):
                leaving.extend(step or ())
                async with session.get(f'http://{address}/') as answer:
                    told.append(answer.headers.get('connection'))
        await runner.cleanup()
        assert told == [None, 'close']

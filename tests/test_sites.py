"""Tests of :mod:`ragwortcourse.processes.sites`."""

import aiohttp
from aiohttp import web

from fakes.ports import pick_address
from ragwortcourse.processes.sites import open_site


async def greet(request: web.Request) -> web.Response:
    """Answer with a fixed text."""
    return web.Response(text='hello')


class TestLeaving:
    """Idle connections of callers while a daemon drains."""

    async def test_each_answer_is_the_last_of_its_connection(self):
        """During the drain each answer has ``Connection: close``.

        Otherwise a caller could send a request on a connection that the daemon
        is closing.
        """
        leaving = []
        address = pick_address()
        runner = await open_site(
            address=address,
            routes=[web.get('/', greet)],
            is_leaving=lambda: bool(leaving),
        )
        headers = []
        async with aiohttp.ClientSession() as session:
            for step in (None, 'leave'):
                leaving.extend(step or ())
                async with session.get(f'http://{address}/') as answer:
                    headers.append(answer.headers.get('connection'))
        await runner.cleanup()
        assert headers == [None, 'close']


class TestHeaders:
    """Headers of callers' requests."""

    async def test_header_as_long_as_operators_allow_is_refused(self):
        """A header line of 16 KiB, which operators allow, is read."""
        address = pick_address()
        runner = await open_site(address=address, routes=[web.get('/', greet)])
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f'http://{address}/', headers={'X-Parts': 'a' * 16_000}
            ) as answer,
        ):
            status = answer.status
        await runner.cleanup()
        assert status == 200

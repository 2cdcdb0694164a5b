"""Tests of :mod:`ragwortcourse.client_session`."""

import ast
import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest

import ragwortcourse
from ragwortcourse.client_session import LostAnswerError, open_session
from ragwortcourse.connections import ResetConnector
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.processes.sessions import (
    Sessions,
    open_daemon_session,
    open_sessions,
    open_single_use_session,
)

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PATCH')
READS = ('GET', 'HEAD')
SOURCES = pathlib.Path(ragwortcourse.__file__).parent
SESSION_MODULE = 'client_session.py'

# Openers of all sessions that the programs use, but those of `open_sessions`.
OPENERS: dict[str, Callable[[], aiohttp.ClientSession]] = {
    'targets of a forwarder': open_target_session,
    'store': open_store_session,
    'daemons': open_daemon_session,
    'engine of a loader': open_single_use_session,
    'operators': open_session,
}
DAEMON_SESSIONS = tuple(field.name for field in dataclasses.fields(Sessions))
NAMES = (*OPENERS, *DAEMON_SESSIONS)
REPEATING = ('daemons', 'relay', 'plain')


@contextlib.asynccontextmanager
async def use_session(name: str) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session by its name, and close it."""
    if name in DAEMON_SESSIONS:
        sessions = open_sessions()
        yield getattr(sessions, name)
        await sessions.close()
        return
    async with OPENERS[name]() as session:
        yield session


class LossyServer:
    """Server that reads requests and closes without an answer.

    :ivar requests: methods of the requests, in the order of their arrival.
    """

    def __init__(self, *, answered: int) -> None:
        self._left = answered
        self.requests: list[str] = []
        self.url = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first requests, then close after each one."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head.split(b' ', 1)[0].decode())
                if not self._left:
                    break
                self._left -= 1
                writer.write(ANSWER)
        writer.close()


@contextlib.asynccontextmanager
async def run_server(*, answered: int = 0):
    """Run a server that answers some requests and loses all others."""
    lossy = LossyServer(answered=answered)
    server = await asyncio.start_server(lossy.serve, '127.0.0.1', 0)
    lossy.url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}/'
    async with server:
        yield lossy


async def send(
    session: aiohttp.ClientSession, method: str, url: str
) -> aiohttp.ClientConnectionError | None:
    """Send a request; return the error, none after an answer."""
    try:
        async with session.request(method, url) as response:
            await response.read()
    except aiohttp.ClientConnectionError as error:
        return error
    return None


@pytest.mark.parametrize('name', NAMES)
class TestLostAnswers:
    """Requests whose connection ends before their answer."""

    @pytest.mark.parametrize('method', METHODS)
    async def test_a_request_is_sent_once(self, name, method):
        """TWICE: the HTTP library sent a request again after a lost answer."""
        async with run_server() as lossy, use_session(name) as session:
            error = await send(session, method, lossy.url)
        assert lossy.requests == [method]
        assert isinstance(error, LostAnswerError)

    @pytest.mark.parametrize('method', METHODS)
    async def test_a_closed_port_after_it_is_not_the_cause(self, name, method):
        """BUDGET: a crash that lost an answer looked like a closed port."""
        lossy = LossyServer(answered=0)

        async def crash(reader, writer):
            server.close()
            await lossy.serve(reader, writer)

        server = await asyncio.start_server(crash, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, use_session(name) as session:
            error = await send(session, method, f'http://127.0.0.1:{port}/')
        assert lossy.requests == [method]
        assert not isinstance(error, aiohttp.ClientConnectorError)


@pytest.mark.parametrize('name', REPEATING)
class TestKeptConnections:
    """Requests on a connection that was in use before."""

    @pytest.mark.parametrize('method', READS)
    async def test_a_read_is_repeated_once(self, name, method, caplog):
        """A read that a closing connection lost is repeated and logged."""
        caplog.set_level('INFO')
        async with (
            run_server(answered=1) as lossy,
            use_session(name) as session,
        ):
            assert await send(session, 'GET', lossy.url) is None
            error = await send(session, method, lossy.url)
        assert lossy.requests == ['GET', method, method]
        assert isinstance(error, LostAnswerError)
        assert caplog.messages == [
            'answer lost on a kept connection; repeating the read'
        ]

    @pytest.mark.parametrize('method', sorted(set(METHODS) - set(READS)))
    async def test_a_change_is_sent_once(self, name, method):
        """TWICE: changes on kept connections were sent again."""
        async with (
            run_server(answered=1) as lossy,
            use_session(name) as session,
        ):
            assert await send(session, 'GET', lossy.url) is None
            await send(session, method, lossy.url)
        assert lossy.requests == ['GET', method]


class TestOtherErrors:
    """Errors after which no request was sent."""

    async def test_a_closed_port_stays_a_failed_connection(self):
        """Callers may rely on a request that was not sent."""
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        async with open_session(connector=ResetConnector()) as session:
            error = await send(session, 'GET', f'http://127.0.0.1:{port}/')
        assert isinstance(error, aiohttp.ClientConnectorError)


class TestEverySession:
    """Sessions that the programs open."""

    def test_all_are_opened_in_one_module(self):
        """TWICE: a session kept the repeats that another had turned off."""
        elsewhere = {
            path.name
            for path in SOURCES.rglob('*.py')
            if path.name != SESSION_MODULE and list_session_calls(path)
        }
        assert not elsewhere

    def test_the_rule_finds_a_session(self):
        """The module that opens the sessions is found by the rule."""
        assert list_session_calls(SOURCES / SESSION_MODULE)


def list_session_calls(path: pathlib.Path) -> list[ast.Call]:
    """List calls in a module that send requests by the library directly."""
    return [
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and ast.unparse(node.func)
        in {'aiohttp.ClientSession', 'ClientSession', 'aiohttp.request'}
    ]

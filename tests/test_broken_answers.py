"""Tests of :mod:`ragwortcourse.broken_answers`, over sockets."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from fakes.fleet_parts import KEY
from fakes.forwarder_fleet import LETTER, ForwarderFleet
from ragwortcourse.entry.answer_writer import write_answer
from ragwortcourse.event_loop import EventLoop
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.call import CallAnswer

CALL = (
    f'POST {LETTER} HTTP/1.0\r\nHost: desk.example\r\n'
    f'Authorization: Bearer {KEY}\r\nRagwortcourse-Attempt-Id: a1\r\n'
    'Ragwortcourse-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\ncall'
).encode()
READ_SECONDS = 30


async def ask(port: int, received: list[bytes]) -> None:
    """Send a call by HTTP/1.0 and read the answer to its orderly end.

    :param received: takes the pieces of the answer.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(CALL)
    try:
        async with asyncio.timeout(READ_SECONDS):
            while piece := await reader.read(1000):
                received.append(piece)
    finally:
        writer.close()


async def ask_forwarder(received: list[bytes]) -> None:
    """Ask a forwarder whose target breaks its stream off."""

    async def answer(target_received, connection):
        await connection.begin(target_received, transfer_encoding='chunked')
        await connection.send_events(0, 2)
        await asyncio.sleep(0.1)
        connection.reset()

    fleet = ForwarderFleet(answer=answer)
    async with fleet.exit_stack:
        await fleet.open(targets=1, forwarders=1, plain=False)
        await ask(fleet.ports[0], received)


async def ask_entry(received: list[bytes]) -> None:
    """Ask an entry daemon whose agent breaks its answer off."""

    async def send_body():
        yield b'id: 0\n'
        await asyncio.sleep(0.1)
        raise AnswerBrokenError('a1')

    async def relay(request):
        answer = CallAnswer(
            request=RequestId('r1'), status=200, headers={}, body=send_body()
        )
        return await write_answer(request, answer)

    app = web.Application()
    app.add_routes([web.post(LETTER, relay)])
    async with TestServer(app) as server:
        await ask(server.port, received)


class TestShowBreak:
    """Answers by HTTP/1.0, which end with their connection."""

    @pytest.mark.parametrize('asked', [ask_forwarder, ask_entry])
    def test_broken_answer_looks_whole(self, asked):
        """A caller of HTTP/1.0 sees that its answer is not whole."""
        received = []
        with (
            asyncio.Runner(loop_factory=EventLoop) as runner,
            pytest.raises(ConnectionResetError),
        ):
            runner.run(asked(received))
        assert b''.join(received).startswith(b'HTTP/1.0 200')

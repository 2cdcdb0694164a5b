"""Tests of :mod:`ragwortcourse.forwarding.exchange`."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.exchange import (
    OpenAnswer,
    open_target_session,
)

HEAD = b'HTTP/1.1 200 OK\r\n'
# More than the buffers of a connection take while its target does not read.
LONG_BODY = b'x' * 8_000_000
LINGER = struct.pack('ii', 1, 0)


async def read_answer(sent: bytes, *, reset: bool, pause: float) -> bytes:
    """Read the body of an answer whose target then closes or resets.

    :param sent: bytes that the target sends.
    :param reset: whether the target resets the connection.
    :param pause: seconds between the bytes and the end of the connection.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as listening:
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        listening.setblocking(False)
        port = listening.getsockname()[1]
        async with open_target_session() as session:
            asked = asyncio.ensure_future(
                session.request('GET', f'http://127.0.0.1:{port}/')
            )
            target, _ = await loop.sock_accept(listening)
            await loop.sock_recv(target, 1000)
            target.send(sent)
            if pause:
                await asyncio.sleep(pause)
            if reset:
                target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            target.close()
            answer = OpenAnswer(head=None, response=await asked)
            pieces = [piece async for piece in answer.read_pieces()]
            return b''.join(pieces)


def run(main: Callable[[], Awaitable[bytes]]) -> bytes:
    """Run a test on the loop of daemons."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize('pause', [0, 0.05])
class TestUnframedBody:
    """Bodies without a length, which end with their connection."""

    def test_closed(self, pause):
        """A body whose connection is closed regularly is whole."""
        body = run(
            lambda: read_answer(HEAD + b'\r\nwhole', reset=False, pause=pause)
        )
        assert body == b'whole'

    def test_reset(self, pause):
        """A body whose connection is reset is not whole.

        Without a pause the reset arrives together with the bytes, and the
        event loop reports a regular end of file.
        """
        with pytest.raises(AnswerCutError):
            run(
                lambda: read_answer(HEAD + b'\r\nhalf', reset=True, pause=pause)
            )


class TestFramedBody:
    """Bodies with a length."""

    def test_whole_before_the_reset(self):
        """A body of its full length is whole even if a reset follows."""
        framed = HEAD + b'Content-Length: 5\r\n\r\nwhole'
        body = run(lambda: read_answer(framed, reset=True, pause=0))
        assert body == b'whole'

    @pytest.mark.parametrize('reset', [False, True])
    def test_short(self, reset):
        """A body shorter than its length is cut."""
        framed = HEAD + b'Content-Length: 9\r\n\r\nshort'
        with pytest.raises(AnswerCutError):
            run(lambda: read_answer(framed, reset=reset, pause=0.05))


async def give_up(body: bytes, sent: bytes = b'') -> bytes:
    """Send a request to a target that stands still, and give it up.

    :param body: body of the request.
    :param sent: what the target answered before it stood still.
    :return: what the target reads once it goes on.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as listening:
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        listening.setblocking(False)
        port = listening.getsockname()[1]
        async with open_target_session() as session:
            asked = asyncio.ensure_future(
                session.request('POST', f'http://127.0.0.1:{port}/', data=body)
            )
            target, _ = await loop.sock_accept(listening)
            await asyncio.sleep(0.1)
            if sent:
                target.send(sent)
                response = await asked
                OpenAnswer(head=None, response=response).close()
            else:
                asked.cancel()
            await asyncio.wait((asked,))
            await asyncio.sleep(0.1)
            return await read_on(target)


async def read_on(target: socket.socket) -> bytes:
    """Read a connection until it ends in order.

    :raises ConnectionResetError: it was reset.
    """
    loop = asyncio.get_running_loop()
    received = bytearray()
    with target:
        target.setblocking(False)
        async with asyncio.timeout(5):
            while piece := await loop.sock_recv(target, 65_536):
                received += piece
    return bytes(received)


class TestGivenUp:
    """Requests that are given up at a target that stands still."""

    def test_rest_of_the_body_follows(self):
        """The target does not get the rest of a body that is given up.

        It ran the request once it went on, after its caller had left.
        """
        with pytest.raises(ConnectionResetError):
            run(lambda: give_up(LONG_BODY))

    def test_not_answered(self):
        """The target notices the end also if it does not read on."""
        with pytest.raises(ConnectionResetError):
            run(lambda: give_up(b'short'))

    def test_answer_begun(self):
        """The same for an answer that is not whole."""
        begun = HEAD + b'Content-Length: 9\r\n\r\nshort'
        with pytest.raises(ConnectionResetError):
            run(lambda: give_up(b'short', sent=begun))

    def test_answer_whole(self):
        """A connection with a whole answer ends in order."""
        whole = HEAD + b'Content-Length: 5\r\n\r\nwhole'
        assert run(lambda: give_up(b'short', sent=whole)).endswith(b'short')

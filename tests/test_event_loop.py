"""Tests of :mod:`ragwortcourse.event_loop`."""

import asyncio
import contextlib
import gc
import os
import socket
from collections.abc import Awaitable, Callable

import pytest

from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding import exchange

# More than the numbers of descriptors that are free below that of a send.
SOCKETS = 10


@pytest.fixture
def listening():
    """Socket that accepts connections and never reads them."""
    with socket.create_server(('127.0.0.1', 0)) as opened:
        yield opened


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a test on the loop of daemons."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(main())


async def cancel(task: 'asyncio.Task[object]', turns: int) -> None:
    """Cancel a task after some turns of the loop."""
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,))


def is_open(opened: socket.socket) -> bool:
    """Tell whether the descriptor of a socket is open."""
    try:
        os.fstat(opened.fileno())
    except OSError:
        return False
    return True


class TestCancelledTakeover:
    """Connections that are cancelled while the loop takes over their socket."""

    @pytest.mark.parametrize('turns', [1, 2])
    def test_closes_another_socket(self, listening, turns):
        """The socket does not close the next one with its number.

        The next one was a connection of another request, which then failed
        or got bytes of a third one.
        """

        async def cancel_takeover() -> None:
            connected = socket.create_connection(listening.getsockname())
            number = connected.fileno()
            loop = asyncio.get_running_loop()
            opening = loop.create_task(
                loop.create_connection(asyncio.Protocol, sock=connected)
            )
            await cancel(opening, turns)
            assert opening.cancelled()
            with socket.socket() as following:
                # The loop has closed the descriptor.
                assert following.fileno() == number
                connected.close()
                assert is_open(following)

        run(cancel_takeover)

    def test_not_begun(self, listening):
        """A socket that the loop has not taken over stays open."""

        async def cancel_early() -> None:
            with socket.create_connection(listening.getsockname()) as connected:
                loop = asyncio.get_running_loop()
                opening = loop.create_task(
                    loop.create_connection(asyncio.Protocol, sock=connected)
                )
                await cancel(opening, 0)
                assert is_open(connected)

        run(cancel_early)

    def test_refused(self, listening):
        """A socket that the loop refuses stays open."""

        async def ask_for_two() -> None:
            loop = asyncio.get_running_loop()
            with socket.create_connection(listening.getsockname()) as connected:
                with pytest.raises(ValueError, match='host/port and sock'):
                    await loop.create_connection(
                        asyncio.Protocol, '127.0.0.1', 1, sock=connected
                    )
                assert is_open(connected)

        run(ask_for_two)


class TestCancelledSend:
    """Requests to targets that are cancelled while they connect."""

    def test_closes_another_socket(self, listening, monkeypatch):
        """A send does not close a socket opened after its cancellation."""

        async def cancel_send() -> None:
            loop = asyncio.get_running_loop()
            take_over = loop.create_connection
            numbers = []

            async def cancel_takeover(*arguments, sock, **options):
                numbers.append(sock.fileno())
                loop.call_soon(asyncio.current_task().cancel)
                return await take_over(*arguments, sock=sock, **options)

            monkeypatch.setattr(loop, 'create_connection', cancel_takeover)
            # uvloop resolves each address in a thread, which may start late.
            monkeypatch.setattr(exchange, 'CONNECT_SECONDS', None)
            port = listening.getsockname()[1]
            async with exchange.open_target_session() as session:
                sent = loop.create_task(
                    session.request('GET', f'http://127.0.0.1:{port}/')
                )
                await asyncio.wait((sent,))
                assert sent.cancelled()
                with contextlib.ExitStack() as stack:
                    following = [
                        stack.enter_context(socket.socket())
                        for _ in range(SOCKETS)
                    ]
                    assert numbers[0] in {each.fileno() for each in following}
                    del sent
                    gc.collect()
                    assert all(is_open(each) for each in following)

        run(cancel_send)

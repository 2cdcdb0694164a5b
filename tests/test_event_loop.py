"""Tests of :mod:`ragwortcourse.event_loop`."""

import asyncio
import gc
import os
import socket
from collections.abc import Awaitable, Callable

import pytest

from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding.exchange import open_target_session

# More than a send to this machine takes until it waits for its answer.
TURNS = 30


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
    """Requests to targets that are cancelled at any turn of the loop."""

    def test_closes_another_socket(self, listening):
        """No send closes a socket that was opened after its cancellation."""

        async def cancel_sends() -> None:
            loop = asyncio.get_running_loop()
            port = listening.getsockname()[1]
            url = f'http://127.0.0.1:{port}/'
            closed = []
            async with open_target_session() as session:
                for turns in range(TURNS):
                    sent = loop.create_task(session.request('GET', url))
                    await cancel(sent, turns)
                    with socket.socket() as following:
                        del sent
                        gc.collect()
                        if not is_open(following):
                            closed.append(turns)
                            following.detach()
            assert not closed

        run(cancel_sends)

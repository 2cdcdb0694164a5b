"""Tests of connections that open while the event loop pauses."""

import asyncio
import time

from fakes.fleet_target import Received, ScriptedConnection
from fakes.forwarder_fleet import ForwarderFleet
from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding import exchange

PAUSE = exchange.CONNECT_SECONDS + 0.3
OK = 200
UNAVAILABLE = 503


async def answer(received: Received, connection: ScriptedConnection) -> None:
    """Answer at once."""
    await connection.answer(received)


class PausedConnections:
    """Pauses of the event loop just after a connection began to open.

    :param pauses: number of connections that pause it.
    :ivar opened: number of connections that began to open.
    """

    def __init__(self, monkeypatch, *, pauses: int) -> None:
        self.opened = 0
        self._pauses = pauses
        self._open_socket = exchange._open_socket
        monkeypatch.setattr(exchange, '_open_socket', self._open)

    def _open(self, info):
        self.opened += 1
        if self.opened <= self._pauses:
            loop = asyncio.get_running_loop()
            # The limit of the connection ends within the pause.
            loop.call_later(0, time.sleep, PAUSE)
        return self._open_socket(info)


async def ask_once() -> tuple[int, list[float]]:
    """Send a request to one target.

    :return: its status, and the seconds left as they arrived at the target.
    """
    fleet = ForwarderFleet(answer=answer)
    async with fleet.exit_stack:
        await fleet.open(targets=1, forwarders=1)
        status = (await fleet.ask(0, b'look')).status
        lefts = [
            int(each.headers['ragwortcourse-deadline-ms']) / 1000
            for each in fleet.arrivals
        ]
        return status, lefts


def run_once() -> tuple[int, list[float]]:
    """Send a request to one target on the loop of daemons."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(ask_once())


class TestPausedConnection:
    """A connection that is open before the event loop goes on."""

    def test_target_counts_as_unreachable(self, monkeypatch):
        """A pause of the event loop is not taken for a lost target."""
        connections = PausedConnections(monkeypatch, pauses=1)
        status, _ = run_once()
        assert status == OK
        assert connections.opened == 2

    def test_time_left(self, monkeypatch):
        """The target is not handed the time that the pause has taken."""
        PausedConnections(monkeypatch, pauses=1)
        _, (time_left,) = run_once()
        assert time_left <= 6 - PAUSE

    def test_pauses_without_end(self, monkeypatch):
        """The target is asked twice at most."""
        connections = PausedConnections(monkeypatch, pauses=9)
        status, _ = run_once()
        assert status == UNAVAILABLE
        assert connections.opened == 2

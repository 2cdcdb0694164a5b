"""Listening ports, connections and signals of an event loop in memory.

Whole daemons run in virtual time with them: no byte passes through the
system, so that time never runs ahead of a byte on its way.
"""

import asyncio
import contextlib
import errno
import itertools
import os
import signal
from collections.abc import Callable, Iterator, Sequence
from typing import Any, cast
from unittest import mock

from fakes.lost_datagrams import LostDatagrams
from fakes.memory_server import HOST, MemoryServer
from fakes.memory_socket import Address, MemorySocket
from fakes.memory_transport import MemoryTransport

FIRST_PORT = 20_000

Factory = Callable[[], asyncio.Protocol]


class MemoryPorts:
    """The ports of one event loop.

    :param transit: seconds of one way of each connection.
    :ivar accepted: ends of the connections at their listening ports, by port.
    """

    def __init__(self, *, transit: float) -> None:
        self.accepted: dict[int, list[MemoryTransport]] = {}
        self._transit = transit
        self._listening: dict[int, Factory] = {}
        self._numbers = itertools.count(FIRST_PORT)
        self._handlers: dict[int, Callable[[], object]] = {}

    async def create_server(
        self,
        protocol_factory: Factory,
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> MemoryServer:
        """Listen on a port; zero picks a free one."""
        number = port or next(self._numbers)
        if number in self._listening:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        self._listening[number] = protocol_factory
        return MemoryServer(
            port=number, end=lambda: self._stop_listening(number)
        )

    async def create_connection(
        self,
        protocol_factory: Factory,
        host: str | None = None,
        port: int | None = None,
        *,
        sock: MemorySocket | None = None,
        **options: object,
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        """Connect to a port, or end the connecting of a socket."""
        if sock is None:
            sock = await self._connect((host or HOST, port or 0))
        return self._open(protocol_factory, sock)

    async def start_connection(
        self, addr_infos: Sequence[Any], **options: object
    ) -> MemorySocket:
        """Connect a socket, as HTTP sessions do."""
        return await self._connect(addr_infos[0][-1])

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], **options: object
    ) -> tuple[LostDatagrams, Any]:
        """Open a port whose datagrams are lost."""
        return LostDatagrams(), protocol_factory()

    def add_signal_handler(
        self, number: int, handler: Callable[[], object]
    ) -> None:
        """Handle a signal that :meth:`raise_signal` raises."""
        self._handlers[number] = handler

    def remove_signal_handler(self, number: int) -> bool:
        """Handle a signal no longer."""
        return self._handlers.pop(number, None) is not None

    def raise_signal(self, number: int) -> None:
        """Raise a signal; without a handler it is ignored."""
        handler = self._handlers.get(number)
        if handler is not None:
            handler()

    async def _connect(self, address: Address) -> MemorySocket:
        await asyncio.sleep(self._transit)
        if address[1] not in self._listening:
            await asyncio.sleep(self._transit)
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED)
            )
        return MemorySocket(own=(HOST, next(self._numbers)), other=address)

    def _open(
        self, factory: Factory, opened: MemorySocket
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        number = opened.getpeername()[1]
        accepting = self._listening.get(number)
        if accepting is None:
            raise ConnectionResetError(
                errno.ECONNRESET, os.strerror(errno.ECONNRESET)
            )
        ends = [
            MemoryTransport(
                protocol=protocol, opened=each, transit=self._transit
            )
            for protocol, each in (
                (factory(), opened),
                (
                    accepting(),
                    MemorySocket(
                        own=opened.getpeername(), other=opened.getsockname()
                    ),
                ),
            )
        ]
        ends[0].peer, ends[1].peer = ends[1], ends[0]
        self.accepted.setdefault(number, []).append(ends[1])
        for end in reversed(ends):
            cast('asyncio.Protocol', end.get_protocol()).connection_made(end)
        return ends[0], cast('asyncio.Protocol', ends[0].get_protocol())

    def _stop_listening(self, number: int) -> None:
        self._listening.pop(number, None)


@contextlib.contextmanager
def use_memory_ports(
    loop: asyncio.AbstractEventLoop, ports: MemoryPorts
) -> Iterator[None]:
    """Let all that runs in an event loop use ports in memory."""
    before = signal.getsignal(signal.SIGHUP)
    names = (
        'create_server',
        'create_connection',
        'create_datagram_endpoint',
        'add_signal_handler',
        'remove_signal_handler',
    )
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(
                mock.patch.object(loop, name, getattr(ports, name))
            )
        stack.enter_context(
            mock.patch(
                'aiohttp.connector.aiohappyeyeballs.start_connection',
                ports.start_connection,
            )
        )
        yield
    # A daemon that ends leaves the signal ignored.
    signal.signal(signal.SIGHUP, before)

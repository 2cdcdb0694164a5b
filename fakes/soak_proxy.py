"""A loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import socket

from fakes.fleet_target import LINGER

CHUNK_BYTES = 65_536


class LinkFault(enum.StrEnum):
    """Network faults that the proxy can inject.

    ``DEAF`` drops bytes to the server, ``MUTE`` drops bytes from the server and
    ``SILENT`` drops both. All of them apply to open connections too.
    """

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    DEAF = 'deaf'
    MUTE = 'mute'
    SILENT = 'silent'


LOST_UPWARDS = frozenset((LinkFault.DEAF, LinkFault.SILENT))
LOST_DOWNWARDS = frozenset((LinkFault.MUTE, LinkFault.SILENT))


class LoopbackProxy:
    """Forwards connections to one server, under a fault until it is cleared.

    A connection that lost bytes is reset when the fault is cleared, because TCP
    never loses bytes in the middle of a stream.

    :ivar address: ``host:port`` on which the proxy listens.
    """

    def __init__(self, *, server: str) -> None:
        self.server = server
        self.address = ''
        self.fault = LinkFault.NONE
        self.delay_seconds = 0.3
        self._callers: set[asyncio.StreamWriter] = set()
        self._lossy: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._relays: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._spawn, '127.0.0.1', 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._listener is not None:
            self._listener.close()
        self._reset(self._callers)
        for task in self._relays:
            task.cancel()
        await asyncio.gather(*self._relays, return_exceptions=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Inject a fault, or clear the present one with ``LinkFault.NONE``."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset(self._callers)
        elif fault is LinkFault.NONE:
            self._reset(self._lossy)

    def _reset(self, writers: set[asyncio.StreamWriter]) -> None:
        for writer in tuple(writers):
            opened = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            writer.transport.abort()
        writers.clear()

    def _spawn(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._relay(reader, writer))
        self._relays.add(task)
        task.add_done_callback(self._relays.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.server.rpartition(':')
        self._callers.add(writer)
        if self.fault is LinkFault.RESET:
            self._reset({writer})
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self._reset({writer})
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, writer, LOST_UPWARDS),
                self._pump(far_reader, writer, writer, LOST_DOWNWARDS),
            )
        except OSError:
            self._reset({writer, far_writer})
        finally:
            self._callers.discard(writer)
            self._lossy.discard(writer)
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter,
        lost: frozenset[LinkFault],
    ) -> None:
        while content := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(self.delay_seconds)
            if self.fault in lost:
                self._lossy.add(caller)
            elif caller not in self._lossy:
                writer.write(content)
                await writer.drain()
        if caller not in self._lossy and writer.can_write_eof():
            writer.write_eof()

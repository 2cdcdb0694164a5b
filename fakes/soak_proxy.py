"""A proxy on loopback that harms the connections through it."""

import asyncio
import contextlib
import enum
import socket

from fakes.fleet_target import LINGER

CHUNK_BYTES = 65_536


class Harm(enum.StrEnum):
    """What happens to connections.

    ``DEAF`` loses what goes to the server, ``MUTE`` what comes from it;
    ``SILENT`` loses both, for connections of before too.
    """

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    DEAF = 'deaf'
    MUTE = 'mute'
    SILENT = 'silent'


LOST_UPWARDS = frozenset((Harm.DEAF, Harm.SILENT))
LOST_DOWNWARDS = frozenset((Harm.MUTE, Harm.SILENT))


class LoopbackProxy:
    """Passes connections on to one server; a harm holds until it is lifted.

    Bytes that were lost end their connection with the harm: TCP loses none
    in the middle of a stream.

    :ivar address: where it listens.
    """

    def __init__(self, *, server: str) -> None:
        self.server = server
        self.address = ''
        self.harm = Harm.NONE
        self.delay_seconds = 0.3
        self._pairs: set[asyncio.StreamWriter] = set()
        self._broken: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._passes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._spawn, '127.0.0.1', 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Listen no more, and end every connection."""
        if self._listener is not None:
            self._listener.close()
        self._reset(self._pairs)
        for task in self._passes:
            task.cancel()
        await asyncio.gather(*self._passes, return_exceptions=True)

    def set_harm(self, harm: Harm) -> None:
        """Harm connections from now on."""
        self.harm = harm
        if harm is Harm.RESET:
            self._reset(self._pairs)
        elif harm is Harm.NONE:
            self._reset(self._broken)

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
        task = asyncio.create_task(self._pass(reader, writer))
        self._passes.add(task)
        task.add_done_callback(self._passes.discard)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.server.rpartition(':')
        self._pairs.add(writer)
        if self.harm is Harm.RESET:
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
            self._pairs.discard(writer)
            self._broken.discard(writer)
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter,
        lost: frozenset[Harm],
    ) -> None:
        while content := await reader.read(CHUNK_BYTES):
            if self.harm is Harm.DELAYED:
                await asyncio.sleep(self.delay_seconds)
            if self.harm in lost:
                self._broken.add(caller)
            elif caller not in self._broken:
                writer.write(content)
                await writer.drain()
        if caller not in self._broken and writer.can_write_eof():
            writer.write_eof()

"""A stand-in target whose raw HTTP answers are scripted."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

LINGER = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """One request as the target received it.

    :ivar headers: values by lower-case name.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Attempt id that the caller chose; empty if absent."""
        return self.headers.get('ragwortcourse-attempt-id', '')


class ScriptedConnection:
    """Connection to the caller, as a script uses it."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    async def send(self, content: bytes) -> None:
        """Write raw bytes."""
        self._writer.write(content)
        await self._writer.drain()

    async def answer(
        self,
        received: Received,
        status: int = 200,
        body: bytes = b'whole',
        **headers: str,
    ) -> None:
        """Send a complete answer."""
        await self.begin(
            received, status, content_length=str(len(body)), **headers
        )
        await self.send(body)

    async def begin(
        self, received: Received, status: int = 200, **headers: str
    ) -> None:
        """Send the status line and headers, including the attempt id and stamp.

        :param headers: further headers, with ``_`` for ``-`` in their names;
            an empty value omits a header.
        """
        marks = {
            'ragwortcourse_attempt_id': received.attempt,
            'ragwortcourse_server_stamp': 'stamp',
            **headers,
        }
        lines = [f'HTTP/1.1 {status} X']
        lines += [
            f'{name.replace("_", "-")}: {text}'
            for name, text in marks.items()
            if text
        ]
        await self.send('\r\n'.join([*lines, '', '']).encode())

    async def send_events(self, first: int, end: int) -> None:
        """Send numbered server-sent events, one HTTP chunk each.

        :param first: number of the first event.
        :param end: number after the last event.
        """
        for number in range(first, end):
            event = f'id: {number}\ndata: word{number}\n\n'.encode()
            await self.send(b'%x\r\n%b\r\n' % (len(event), event))

    def close(self) -> None:
        """Close the connection in order."""
        self._writer.close()

    def reset(self) -> None:
        """Close the connection by a TCP reset, unless it is closed."""
        if self._writer.is_closing():
            return
        opened = self._writer.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        self._writer.transport.abort()


Script = Callable[[Received, ScriptedConnection], Awaitable[None]]


async def answer_whole(
    received: Received, connection: ScriptedConnection
) -> None:
    """Send a complete 200 answer, as a healthy target does."""
    await connection.answer(received)


def begin_with(first: Script, then: Script) -> Script:
    """Build a script to share among targets.

    :param first: script for the first request at any of the targets.
    :param then: script for all later requests.
    """
    remaining = [first]

    async def script(
        received: Received, connection: ScriptedConnection
    ) -> None:
        chosen = remaining.pop() if remaining else then
        await chosen(received, connection)

    return script


class FleetTarget:
    """One target that uses one script per request and then repeats the last.

    :ivar received: requests in order of arrival.
    :ivar abandoned: number of requests whose caller sent data or closed the
        connection before the script ended.
    """

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts) or [answer_whole]
        self.received: list[Received] = []
        self.abandoned = 0
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, after a stop on the same one."""
        _, _, known = self.address.partition(':')
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', int(known or 0)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            received = await self._read(reader)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            return
        self.received.append(received)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else None
        run = asyncio.ensure_future(
            (script or self.scripts[0])(
                received, ScriptedConnection(writer=writer)
            )
        )
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((run, gone), return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            self.abandoned += 1
        run.cancel()
        gone.cancel()
        await asyncio.gather(run, gone, return_exceptions=True)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Received:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.strip().split('\r\n')
        method, path, _ = first.split(' ', 2)
        pairs = (line.split(': ', 1) for line in lines)
        headers = {name.lower(): text for name, text in pairs}
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        return Received(method=method, path=path, headers=headers, body=body)

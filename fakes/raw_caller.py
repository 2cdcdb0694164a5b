"""A caller that sees each byte and the end of its connection."""

import asyncio
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus

from ragwortcourse.clock import read_clock

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass(kw_only=True)
class RawReply:
    """What a caller got for one request.

    :param sent_at: when the last byte of the request was sent; none before.
    :param status: none without the head of an answer.
    :param is_whole: true if the answer is complete.
    :param detail: why it is not.
    """

    began_at: float
    sent_at: float | None = None
    ended_at: float | None = None
    status: int | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    detail: str = ''


class RawCaller:
    """A connection of a caller, which may carry several requests.

    :ivar own: own address; none before it is open.
    """

    def __init__(self, *, port: int) -> None:
        self.own: tuple[str, int] | None = None
        self._port = port

    async def open(self) -> None:
        """Connect.

        :raises OSError: the port refuses connections.
        """
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        self.own = self._writer.get_extra_info('sockname')

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def ask(
        self,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: Sequence[tuple[float, bytes]],
    ) -> RawReply:
        """Send a request and read the answer while the body is sent.

        :param body: pieces, each with the seconds before it.
        """
        reply = RawReply(began_at=read_clock())
        sending = asyncio.ensure_future(self._send(reply, path, headers, body))
        try:
            await self._read(reply)
        except (asyncio.IncompleteReadError, OSError) as error:
            reply.detail = repr(error)
        reply.ended_at = read_clock()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return reply

    async def _send(
        self,
        reply: RawReply,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: Sequence[tuple[float, bytes]],
    ) -> None:
        length = sum(len(piece) for _, piece in body)
        lines = [f'POST {path} HTTP/1.1', f'Content-Length: {length}']
        lines += [f'{name}: {text}' for name, text in headers]
        self._writer.write('\r\n'.join([*lines, '', '']).encode())
        for pause, piece in body:
            await asyncio.sleep(pause)
            self._writer.write(piece)
        reply.sent_at = read_clock()

    async def _read(self, reply: RawReply) -> None:
        head = (await self._reader.readuntil(HEAD_END)).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        reply.status = int(first.split(' ')[1])
        pairs = (line.split(': ', 1) for line in lines)
        reply.headers = {name.lower(): text for name, text in pairs}
        if reply.headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(reply)
        elif reply.status != HTTPStatus.NO_CONTENT:
            length = int(reply.headers['content-length'])
            reply.body = await self._reader.readexactly(length)
        reply.is_whole = True

    async def _read_chunks(self, reply: RawReply) -> None:
        while True:
            size = int(await self._reader.readuntil(LINE_END), 16)
            content = await self._reader.readexactly(size + len(LINE_END))
            reply.body += content[:size]
            if not size:
                return

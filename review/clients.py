"""Stand-in of a client that keeps one channel."""

import asyncio
import dataclasses

from review.harness import Record


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer of a daemon; status zero if the channel ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """Client that sends one request after another on a kept channel."""

    def __init__(self, *, address: str, key: str, record: Record) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._key = key
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b'',
        *,
        seconds: float = 1.5,
        headers: str = '',
    ) -> Answer:
        """Send a request and read the whole answer."""
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            'Host: desk.example\r\n'
            f'Ragwortcourse-Attempt-Id: {attempt}\r\n'
            f'Ragwortcourse-Deadline-Ms: {round(seconds * 1000)}\r\n'
            f'Authorization: Bearer {self._key}\r\n'
            f'{headers}Content-Length: {len(body)}\r\n\r\n'
        )
        self._record.add('send', attempt=attempt, method=method, path=path)
        try:
            async with asyncio.timeout(seconds):
                answer = await self._exchange(head.encode() + body)
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            self._record.add('no-answer', attempt=attempt, error=repr(error))
            return Answer(status=0, headers={}, body=b'')
        self._record.add('answer', attempt=attempt, status=answer.status)
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _exchange(self, content: bytes) -> Answer:
        if self._writer is None or self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        self._writer.write(content)
        head = await self._reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
            if name
        }
        length = int(headers.get('content-length', 0))
        body = await self._reader.readexactly(length)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return Answer(
            status=int(lines[0].split(' ')[1]), headers=headers, body=body
        )

"""Refusals of requests whose bodies are still on their way."""

import asyncio

import pytest

from fakes.fleet_parts import make_forwarder, make_state
from fakes.ports import pick_address
from ragwortcourse.forwarding.calls import build_call_routes
from ragwortcourse.forwarding.exchange import open_target_session
from ragwortcourse.processes.sites import open_site

PIECE = b'x' * 100_000
# More than the buffers of both ends hold.
PIECES = 80


class TestEarlyRefusals:
    """Answers that are written before the body of the request was read."""

    @pytest.mark.parametrize('stopping', [False, True])
    @pytest.mark.parametrize(
        ('path', 'status'), [('/none/1', 404), ('/lookups/1', 401)]
    )
    async def test_reaches_a_caller_that_writes_first(
        self, path, status, stopping
    ):
        """The connection is not reset while the caller still writes.

        A close with unread bytes resets the connection, and the caller loses
        the answer.
        """
        async with open_target_session() as session:
            forwarder = make_forwarder(make_state(), session)
            forwarder.closing = stopping
            address = pick_address()
            runner = await open_site(
                address=address,
                routes=build_call_routes(forwarder),
                is_leaving=lambda: stopping,
            )
            head = await write_then_read(address, path)
            await runner.cleanup()
        assert int(head.split()[1]) == (503 if stopping else status)


async def write_then_read(address: str, path: str) -> bytes:
    """Send a whole request, then read the head of its answer."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    length = len(PIECE) * PIECES
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
        f'Content-Length: {length}\r\n\r\n'.encode()
    )
    for _ in range(PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(0.002)
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head

"""Tests of :mod:`ragwortcourse.platform.store_session`."""

import asyncio
import socket

from ragwortcourse.platform.store_session import open_store_session

# Least time after a lost connection until the fleet's bounds apply to a
# daemon again.
CONTACT_SECONDS = 3


class TestStoreSession:
    """Detection of dead connections to the store."""

    async def test_silence_is_noticed(self):
        """A dead connection is closed before the fleet's bounds apply."""
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        address = server.sockets[0].getsockname()
        async with server, open_store_session() as session:
            call = asyncio.ensure_future(
                session.get(f'http://127.0.0.1:{address[1]}/')
            )
            async with asyncio.timeout(10):
                while not list_connections(session):
                    await asyncio.sleep(0.01)
            (opened,) = list_connections(session)
            read = opened.get_extra_info('socket').getsockopt
            assert read(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            idle = read(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            pause = read(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            probes = read(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
            assert idle + pause * probes < CONTACT_SECONDS
            unread = read(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert unread < CONTACT_SECONDS * 1000
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)


def list_connections(session):
    """List the transports of the session's running calls."""
    return [each.transport for each in session.connector._acquired]

"""Tests of :mod:`ragwortcourse.forwarding.datagrams`."""

import asyncio

import pytest

from ragwortcourse.event_loop import EventLoop
from ragwortcourse.forwarding.datagrams import build_datagram_sender


class Receiver(asyncio.DatagramProtocol):
    """Receiver that keeps the datagrams."""

    def __init__(self) -> None:
        self.received = asyncio.Queue()

    def datagram_received(self, data, addr):
        """Keep a datagram."""
        self.received.put_nowait(data)


class TestSender:
    """Sending of datagrams on the loop that daemons use."""

    @pytest.mark.parametrize('odd', ['[::1]:80', 'a:80'])
    def test_unreachable_daemon_ends_the_sender(self, odd, caplog):
        """An address of another family is logged once, others get theirs."""

        async def send_all():
            loop = asyncio.get_running_loop()
            receiver = Receiver()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: receiver, local_addr=('127.0.0.1', 0)
            )
            _, port = transport.get_extra_info('sockname')
            send = build_datagram_sender(transport)
            for content in (b'1', b'2'):
                send(content, odd)
                send(content, f'127.0.0.1:{port}')
            received = [await receiver.received.get() for _ in range(2)]
            transport.close()
            return received

        with asyncio.Runner(loop_factory=EventLoop) as runner:
            assert runner.run(send_all()) == [b'1', b'2']
        (record,) = caplog.records
        assert record.address == odd

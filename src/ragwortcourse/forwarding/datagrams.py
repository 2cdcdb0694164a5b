"""Sending of datagrams to other daemons."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from ragwortcourse.addresses import split_address

LOGGER: Final = logging.getLogger(__name__)

# Takes the content and the address.
SendDatagram = Callable[[bytes, str], None]


def build_datagram_sender(transport: asyncio.DatagramTransport) -> SendDatagram:
    """Build a function that sends datagrams from one socket.

    An address that the socket can't send to, such as one of another family, is
    logged at its first datagram and gets none.
    """
    unreachable: set[str] = set()

    def send(content: bytes, address: str) -> None:
        if address in unreachable:
            return
        try:
            transport.sendto(content, split_address(address))
        except ValueError as error:
            unreachable.add(address)
            LOGGER.warning(
                'no datagrams can be sent to a daemon',
                extra={'address': address, 'detail': str(error)},
            )

    return send

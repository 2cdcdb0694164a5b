"""Datagrams to all daemons of a fleet, passed on inside failure domains."""

from typing import Final

from ragwortcourse.forwarding.datagrams import SendDatagram
from ragwortcourse.forwarding.dissemination.audience import Audience

# Before a datagram that its receiver sends on to the daemons of its failure
# domain. No message begins so, as all are JSON objects.
PASS_ON: Final = b'>'


class Broadcast:
    """Sender of datagrams to the audience of a round.

    :param send: sends a datagram to an address.
    :ivar audience: replaced in each round.
    """

    def __init__(self, *, send: SendDatagram) -> None:
        self.audience = Audience()
        self._send = send

    def send(self, content: bytes, address: str) -> None:
        """Send a datagram to an address of the audience, or to any other."""
        if address in self.audience.forwarders:
            content = PASS_ON + content
        self._send(content, address)

    def send_near(self, content: bytes) -> None:
        """Send a datagram to the daemons of the own failure domain."""
        for address in self.audience.near:
            self._send(content, address)

    def send_all(self, content: bytes) -> None:
        """Send a datagram to the daemons of all failure domains."""
        for address in self.audience.addresses:
            self.send(content, address)

    def receive(self, data: bytes, *, is_late: bool = False) -> bytes:
        """Pass a datagram on if it says so; return its message.

        :param is_late: whether it was read so late that the ages in it are
            wrong. Its next receiver could not tell, so it is not passed on.
        """
        if not data.startswith(PASS_ON):
            return data
        content = data.removeprefix(PASS_ON)
        # A second mark would make each receiver pass it on to all others.
        if not is_late and not content.startswith(PASS_ON):
            self.send_near(content)
        return content

"""A port whose datagrams are lost."""

import asyncio
from typing import Any


class LostDatagrams(asyncio.DatagramTransport):
    """Transport whose datagrams reach nobody."""

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Lose a datagram."""

    def close(self) -> None:
        """Do nothing."""

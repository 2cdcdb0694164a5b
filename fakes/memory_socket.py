"""Socket of a connection in memory."""

import socket

Address = tuple[str, int]


class MemorySocket:
    """What protocols ask of the socket of a connection.

    :param own: address of this end.
    :param other: address of the other end.
    """

    family = socket.AF_INET

    def __init__(self, *, own: Address, other: Address) -> None:
        self._own = own
        self._other = other

    def getsockname(self) -> Address:
        """Return the address of this end."""
        return self._own

    def getpeername(self) -> Address:
        """Return the address of the other end."""
        return self._other

    def setsockopt(self, level: int, option: int, setting: object) -> None:
        """Ignore an option."""

    def getsockopt(self, level: int, option: int) -> int:
        """Return that no error is pending."""
        return 0

"""A listening port in memory."""

from collections.abc import Callable

from fakes.memory_socket import MemorySocket

HOST = '127.0.0.1'


class MemoryServer:
    """A listening port.

    :param end: stops the listening.
    """

    def __init__(self, *, port: int, end: Callable[[], None]) -> None:
        own = (HOST, port)
        self.sockets = [MemorySocket(own=own, other=own)]
        self._end = end

    def close(self) -> None:
        """Accept no more connections."""
        self._end()

    async def wait_closed(self) -> None:
        """Return at once."""

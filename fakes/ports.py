"""Ports on loopback that no other process takes meanwhile."""

import functools
import socket
from typing import Final

LOOPBACK: Final = '127.0.0.1'
# Below the range from which the kernel takes ports of outgoing connections.
FIRST_PORT: Final = 10000
END_PORT: Final = 16000
BLOCK_PORTS: Final = 100


class PortBlock:
    """Ports of one process, guarded by a socket on the first of them.

    :param guard: listens on the first port for as long as the block is held.
    """

    def __init__(self, *, guard: socket.socket) -> None:
        self._guard = guard
        self.first: int = guard.getsockname()[1]
        self._offset = 0

    def pick(self) -> int:
        """Another port of the block on which nothing listens.

        A port comes up again only after all others.

        :raises RuntimeError: something listens on every port of the block.
        """
        for _ in range(BLOCK_PORTS):
            self._offset = self._offset % (BLOCK_PORTS - 1) + 1
            port = self.first + self._offset
            if is_free(port):
                return port
        raise RuntimeError(f'no free port in the block from {self.first}')

    def close(self) -> None:
        """Leave the block to other processes."""
        self._guard.close()


def is_free(port: int) -> bool:
    """Whether nothing listens on a port of loopback."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


def reserve_block() -> PortBlock:
    """A block of ports that no other process holds.

    :raises RuntimeError: every block is held.
    """
    for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first))
            guard.listen()
        except OSError:
            guard.close()
        else:
            return PortBlock(guard=guard)
    raise RuntimeError(f'no block from {FIRST_PORT} to {END_PORT} is free')


@functools.cache
def find_own_block() -> PortBlock:
    """The block of this process, held until it ends."""
    return reserve_block()


def pick_address() -> str:
    """``ip:port`` on loopback that no other process of a fleet takes."""
    return f'{LOOPBACK}:{find_own_block().pick()}'

"""Loopback ports reserved for one process and its children."""

import functools
import socket
from typing import Final

LOOPBACK: Final = '127.0.0.1'
# Below the kernel's range for ports of outgoing connections.
FIRST_PORT: Final = 10000
END_PORT: Final = 16000
BLOCK_PORTS: Final = 100


class PortBlock:
    """Block of ports of one process, reserved by a socket on the first.

    :param guard: socket that listens on the first port while the block is
        held.
    """

    def __init__(self, *, guard: socket.socket) -> None:
        self._guard = guard
        self.first: int = guard.getsockname()[1]
        self._offset = 0

    def pick(self) -> int:
        """Return the next port of the block on which nothing listens.

        A port is returned again only after all others.

        :raises RuntimeError: every port of the block is in use.
        """
        for _ in range(BLOCK_PORTS):
            self._offset = self._offset % (BLOCK_PORTS - 1) + 1
            port = self.first + self._offset
            if is_free(port):
                return port
        raise RuntimeError(f'no free port in the block from {self.first}')

    def close(self) -> None:
        """Release the block for other processes."""
        self._guard.close()


def is_free(port: int) -> bool:
    """Return whether nothing listens on a loopback port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


def reserve_block() -> PortBlock:
    """Reserve a block of ports that no other process holds.

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
    """Reserve the block of this process once, until the process ends."""
    return reserve_block()


def pick_address() -> str:
    """Pick a loopback ``ip:port`` that no other fleet's process uses."""
    return f'{LOOPBACK}:{find_own_block().pick()}'

"""Tests of the reserved ports that a fleet of processes listens on."""

import pathlib
import socket

import pytest

from fakes.ports import BLOCK_PORTS, LOOPBACK, pick_address, reserve_block

# More than any fleet needs; other programs may use the rest of the block.
FLEET_PORTS = BLOCK_PORTS // 2
RANGE_FILE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


class TestPickAddress:
    """Choice of the addresses of a fleet's processes."""

    def test_outside_outgoing(self):
        """A port is outside the kernel's range for outgoing connections."""
        first, last = map(int, RANGE_FILE.read_text().split())
        port = int(pick_address().rpartition(':')[2])
        assert not first <= port <= last


@pytest.fixture
def block():
    """Reserve a block whose ports are all unused."""
    reserved = reserve_block()
    yield reserved
    reserved.close()


class TestPortBlock:
    """Choice of ports from the block of one process."""

    def test_no_port_twice(self, block):
        """A port is not returned twice, even before a process listens."""
        given = [block.pick() for _ in range(FLEET_PORTS)]
        assert len(set(given)) == len(given)

    def test_busy_port_is_passed_by(self, block):
        """A port on which something listens is skipped."""
        with socket.create_server((LOOPBACK, block.first + 1)):
            assert block.pick() == block.first + 2


class TestReserveBlock:
    """Reservation of blocks by processes that run at the same time."""

    def test_held_once(self):
        """Two holders never share a block."""
        held = reserve_block()
        other = reserve_block()
        try:
            assert other.first != held.first
        finally:
            held.close()
            other.close()

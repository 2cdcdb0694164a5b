"""Connections to the store that tell when they have gone silent.

Load pattern: a call waits for seconds until something changes, and the
connection under it is lost without a reset; everything that is written
meanwhile would go unseen until the call is given up.
"""

import socket
from typing import Final

import aiohttp

# Silence after which the system asks whether the other end is there, and
# between two such probes.
PROBE_SECONDS: Final = 1
# Probes without an answer after which the connection is given up. Together
# less than daemons are given after a disturbance (three seconds at least).
PROBES: Final = 1
# The same for bytes that nobody acknowledges.
UNACKNOWLEDGED_MS: Final = 2000
OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


def open_store_session() -> aiohttp.ClientSession:
    """Session whose connections are probed while calls wait."""
    connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
    return aiohttp.ClientSession(connector=connector)


def _open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    opened = socket.socket(family=info[0], type=info[1], proto=info[2])
    for level, option, setting in OPTIONS:
        opened.setsockopt(level, option, setting)
    return opened

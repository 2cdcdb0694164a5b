"""HTTP session for the store that detects dead connections.

Load pattern: a call waits for seconds until a row changes, and its
connection is lost without a reset. Without probes every change would go
unseen until the call times out.
"""

import socket
from typing import Final

import aiohttp

from ragwortcourse.client_session import open_session
from ragwortcourse.connections import ResetConnector

# Idle time before the first keepalive probe, and between two probes.
PROBE_SECONDS: Final = 1
# Unanswered probes after which the connection is closed. In total this takes
# less than the time daemons have after a disturbance (at least three seconds).
PROBES: Final = 1
# Time after which a connection with unacknowledged bytes is closed.
UNACKNOWLEDGED_MS: Final = 2000
OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


def open_store_session() -> aiohttp.ClientSession:
    """Open a session whose connections are probed while calls wait.

    Its reads wait for changes, so a repeat would count as an answer to the
    first of two calls; their callers repeat them.
    """
    connector = ResetConnector(limit=0, socket_factory=_open_socket)
    return open_session(connector=connector)


def _open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    opened = socket.socket(family=info[0], type=info[1], proto=info[2])
    for level, option, setting in OPTIONS:
        opened.setsockopt(level, option, setting)
    return opened

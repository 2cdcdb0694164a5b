"""HTTP client sessions of one daemon.

Load pattern: a target sends a second copy of an answer late, on a connection
that is in use again, or closes an idle connection just as a request is sent
on it.
"""

import dataclasses
from typing import Final

from aiohttp import ClientSession

from ragwortcourse.client_session import open_session
from ragwortcourse.connections import ResetConnector

KEEPALIVE_SECONDS: Final = 30.0
# Kept connections hold slots of an engine.
READS_KEEPALIVE_SECONDS: Final = 1.0
# A relayed message carries only the headers of its sender.
SKIPPED_HEADERS: Final = ('Accept-Encoding', 'User-Agent', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sessions:
    """Sessions to other daemons and the platform, and one to targets.

    :param relay: session that relays bodies without decompression.
    :param plain: session that decompresses the bodies of answers.
    :param targets: session whose requests each use a connection of their own.
    """

    relay: ClientSession
    plain: ClientSession
    targets: ClientSession

    async def close(self) -> None:
        """Close every connection."""
        await self.relay.close()
        await self.plain.close()
        await self.targets.close()


def open_sessions() -> Sessions:
    """Open the sessions of a daemon, for its whole run."""
    # Each request in progress at a target needs a connection of its own.
    connector = ResetConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
    return Sessions(
        relay=open_session(
            connector=connector,
            repeats_reads=True,
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
        ),
        plain=open_session(
            connector=connector, repeats_reads=True, connector_owner=False
        ),
        targets=open_single_use_session(),
    )


def open_daemon_session() -> ClientSession:
    """Open a session to other daemons and to origins of weights."""
    return open_session(repeats_reads=True)


def open_read_session() -> ClientSession:
    """Open a session for reads of chunks from the engine on the same host.

    Its connections are closed soon after a series of reads.
    """
    return open_session(
        connector=ResetConnector(
            limit=0, keepalive_timeout=READS_KEEPALIVE_SECONDS
        ),
        repeats_reads=True,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
    )


def open_single_use_session() -> ClientSession:
    """Open a session that uses no connection for a second request.

    A ``Connection: close`` header does not ensure this: a target may leave it
    unheeded, and its connection would be used again.
    """
    return open_session(
        connector=ResetConnector(limit=0, force_close=True),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
    )

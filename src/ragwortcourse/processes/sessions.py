"""Outgoing HTTP connections of one daemon."""

import dataclasses
from typing import Final

from aiohttp import ClientSession, TCPConnector

KEEPALIVE_SECONDS: Final = 30.0
# A relayed message carries the headers of its sender and no others.
SKIPPED_HEADERS: Final = ('Accept-Encoding', 'User-Agent', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sessions:
    """Sessions that share one pool of connections.

    :param relay: passes bodies on as they came, compressed or not.
    :param plain: reads the bodies of answers.
    """

    relay: ClientSession
    plain: ClientSession

    async def close(self) -> None:
        """Close every connection."""
        await self.relay.close()
        await self.plain.close()


def open_sessions() -> Sessions:
    """Sessions for the life of the daemon."""
    # Every target has a connection for each request under way there.
    connector = TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
    return Sessions(
        relay=ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
        ),
        plain=ClientSession(connector=connector, connector_owner=False),
    )

"""HTTP client sessions of one daemon."""

import dataclasses
from typing import Final

from aiohttp import ClientSession, TCPConnector

KEEPALIVE_SECONDS: Final = 30.0
# A relayed message carries only the headers of its sender.
SKIPPED_HEADERS: Final = ('Accept-Encoding', 'User-Agent', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sessions:
    """Sessions that share one pool of connections.

    :param relay: session that relays bodies without decompression.
    :param plain: session that decompresses the bodies of answers.
    """

    relay: ClientSession
    plain: ClientSession

    async def close(self) -> None:
        """Close every connection."""
        await self.relay.close()
        await self.plain.close()


def open_sessions() -> Sessions:
    """Open the sessions of a daemon, for its whole run."""
    # Each request in progress at a target needs a connection of its own.
    connector = TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
    return Sessions(
        relay=ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
        ),
        plain=ClientSession(connector=connector, connector_owner=False),
    )

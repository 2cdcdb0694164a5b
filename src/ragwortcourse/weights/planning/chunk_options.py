"""Options of a request for a chunk to another daemon.

Load pattern: entry daemons ask each other for the chunks that loaders ask
them for, and daemons are stopped meanwhile. The options tell the asked daemon
how fast to send, what loaders want, and whom it replaces.
"""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final

RATE_OPTION: Final = 'rate'
# Addresses asked before that did not accept a connection.
GONE_OPTION: Final = 'gone'
GONE_SEPARATOR: Final = ','
# Set by entry daemons, whose requests are no demand of a loader.
RELAY_OPTION: Final = 'relay'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkOptions:
    """Options of a request for a chunk.

    :param rate: bytes a second that the daemon may send; zero: no limit.
    :param gone: addresses that come before this one and do not accept
        connections.
    :param is_relay: whether an entry daemon asks.
    """

    rate: int = 0
    gone: Collection[str] = ()
    is_relay: bool = False

    def encode(self) -> dict[str, str]:
        """Return the query of the request."""
        query = {RATE_OPTION: str(self.rate)}
        if self.gone:
            query[GONE_OPTION] = GONE_SEPARATOR.join(self.gone)
        if self.is_relay:
            query[RELAY_OPTION] = '1'
        return query


def decode_options(query: Mapping[str, str]) -> ChunkOptions:
    """Read the options of a request; a meaningless rate is no limit."""
    rate = query.get(RATE_OPTION, '')
    gone = query.get(GONE_OPTION, '')
    return ChunkOptions(
        rate=int(rate) if rate.isdecimal() else 0,
        gone=tuple(filter(None, gone.split(GONE_SEPARATOR))),
        is_relay=RELAY_OPTION in query,
    )

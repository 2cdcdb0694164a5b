"""Loaders tell entry daemons when their engine changes its weights."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ragwortcourse.forwarding.load_exchange import (
    ListRelays,
    SwitchMessage,
    read_address,
)

Announce = Callable[[SwitchMessage], Awaitable[None]]


def build_announcement(*, list_relays: ListRelays) -> Announce:
    """Sends a message to every entry daemon; a lost one costs a retry."""

    async def announce(message: SwitchMessage) -> None:
        loop = asyncio.get_running_loop()
        content = msgspec.json.encode(message)
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol,
            local_addr=('0.0.0.0', 0),  # noqa: S104
        )
        try:
            for relay in await list_relays():
                transport.sendto(content, read_address(relay.address))
        finally:
            transport.close()

    return announce

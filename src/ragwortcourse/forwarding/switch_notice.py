"""Notices of loaders to entry daemons that an engine changes its weights."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ragwortcourse.forwarding.datagrams import build_datagram_sender
from ragwortcourse.forwarding.load_exchange import ListRelays
from ragwortcourse.forwarding.load_messages import (
    SwitchMessage,
)

Announce = Callable[[SwitchMessage], Awaitable[None]]


def build_announcement(*, list_relays: ListRelays) -> Announce:
    """Build a function that sends a notice to every entry daemon.

    Notices are UDP datagrams; a lost notice costs a retry.

    :param list_relays: lists the registered entry daemons.
    """

    async def announce(message: SwitchMessage) -> None:
        loop = asyncio.get_running_loop()
        content = msgspec.json.encode(message)
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol,
            local_addr=('0.0.0.0', 0),  # noqa: S104
        )
        try:
            send = build_datagram_sender(transport)
            for relay in await list_relays():
                send(content, relay.address)
        finally:
            transport.close()

    return announce

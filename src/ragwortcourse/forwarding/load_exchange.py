"""Entry daemons tell each other what they have at each target.

Datagrams: a lost one is made good by the next, and nobody waits for one.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.identifiers import DaemonId, TargetName
from ragwortcourse.weights.relay import RelayRecord

# Within a failure domain; a few requests arrive in it.
NEAR_SECONDS: Final = 0.1
# Every so many rounds the other failure domains are told too: lines between
# regions are narrow.
FAR_ROUNDS: Final = 4

LOGGER: Final = logging.getLogger(__name__)

ListRelays = Callable[[], Awaitable[Sequence[RelayRecord]]]


class LoadMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one daemon under way at each target."""

    daemon: DaemonId
    running: dict[TargetName, int]


class LoadReceiver(asyncio.DatagramProtocol):
    """Takes over what other daemons tell."""

    def __init__(self, *, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take over one message; unreadable ones are logged."""
        try:
            message = msgspec.json.decode(data, type=LoadMessage)
        except msgspec.DecodeError as error:
            LOGGER.warning(
                'unreadable load message',
                extra={'sender': str(addr), 'detail': str(error)},
            )
            return
        now = read_clock()
        for target in self._forwarder.state.targets.values():
            running = message.running.get(target.name, 0)
            load = self._forwarder.find_load(target)
            load.note_peer(message.daemon, running, now)


async def exchange_loads(
    *, forwarder: Forwarder, list_relays: ListRelays
) -> None:
    """Tell the other entry daemons for ever."""
    settings = forwarder.settings
    host, _, port = settings.listen.peers.rpartition(':')
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: LoadReceiver(forwarder=forwarder),
        local_addr=(host, int(port)),
    )
    turn = 0
    told: dict[TargetName, int] = {}
    try:
        while True:
            turn += 1
            running = forwarder.count_running()
            is_far_turn = turn % FAR_ROUNDS == 0
            if running != told or is_far_turn:
                told = running
                message = msgspec.json.encode(
                    LoadMessage(daemon=settings.daemon, running=running)
                )
                for relay in await list_relays():
                    near = relay.failure_domain == settings.failure_domain
                    if relay.daemon != settings.daemon and (
                        near or is_far_turn
                    ):
                        transport.sendto(message, _read_address(relay.address))
            await asyncio.sleep(NEAR_SECONDS)
    finally:
        transport.close()


def _read_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)

"""Entry daemons tell each other what they have at each target.

Datagrams: a lost one is made good by the next, and nobody waits for one.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.fleet_updates import note_history
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.named_weights import (
    NamedWeights,
    VersionHistory,
    list_running,
)
from ragwortcourse.forwarding.peer_counts import Counts
from ragwortcourse.identifiers import DaemonId, ModelName
from ragwortcourse.membership.relay_daemons import RelayRecord

# Within a failure domain; a few requests arrive in it.
NEAR_SECONDS: Final = 0.1
# Every so many rounds the other failure domains are told too: lines between
# regions are narrow.
FAR_ROUNDS: Final = 4
# Longer without a round than a busy host takes: the daemon, or its host,
# stood still, and what was sent meanwhile is read now.
STANDSTILL_SECONDS: Final = 0.5
# Time in which the messages that waited are read.
LATE_SECONDS: Final = 0.15

LOGGER: Final = logging.getLogger(__name__)

ListRelays = Callable[[], Awaitable[Sequence[RelayRecord]]]


class VersionAnnouncement(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A version of a model, as one daemon knows it.

    :param age: seconds since it was named.
    :param observed: false where the daemon found it at its start and had to
        assume the age.
    """

    version: int
    age: float
    observed: bool


class VersionHistoryMessage(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon knows of the versions of models.

    :param versions: of each model, the newest last.
    :param complete_for: seconds for which the daemon has seen all that were
        named; none: it has not read them yet.
    """

    versions: dict[ModelName, list[VersionAnnouncement]]
    complete_for: float | None


class LoadMessage(msgspec.Struct, frozen=True, kw_only=True, tag='load'):
    """Requests of one daemon under way at each target.

    :param counts: for each target those running, and those of them that
        have no answer yet.
    :param namings: versions of models; none in most messages.
    :param store_lost: true while the store does not answer the daemon.
    :param stable_for: seconds since it last saw the store away for the
        fleet; none: never.
    """

    daemon: DaemonId
    counts: Counts
    namings: VersionHistoryMessage | None = None
    store_lost: bool = False
    stable_for: float | None = None


class SwitchMessage(msgspec.Struct, frozen=True, kw_only=True, tag='switch'):
    """Word of a loader that its engine changes its weights.

    :param address: of the engine, ``ip:port``.
    :param seconds: for which it takes no work; zero: it does again.
    :param version: weights that it has from then on; zero: as before.
    """

    address: str
    seconds: float
    version: int


Message = LoadMessage | SwitchMessage
DECODER: Final = msgspec.json.Decoder(Message)


class LoadReceiver(asyncio.DatagramProtocol):
    """Takes over what other daemons tell."""

    def __init__(self, *, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._awake_at = read_clock_with_suspend()
        self._late_until = -math.inf

    def note_awake(self) -> None:
        """Note that the daemon runs; messages read after a gap are late."""
        now = read_clock_with_suspend()
        if now - self._awake_at > STANDSTILL_SECONDS:
            self._late_until = now + LATE_SECONDS
        self._awake_at = now

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take over one message; unreadable ones are logged."""
        try:
            message = DECODER.decode(data)
        except msgspec.DecodeError as error:
            LOGGER.warning(
                'unreadable load message',
                extra={'sender': str(addr), 'detail': str(error)},
            )
            return
        if isinstance(message, LoadMessage):
            self._take_load(message)
        else:
            self._take_switch(message)

    def _take_load(self, message: LoadMessage) -> None:
        self._forwarder.note_counts(message.daemon, message.counts)
        self.note_awake()
        if self._awake_at < self._late_until:
            # Ages in it may lack the time for which the daemon stood still.
            return
        self._forwarder.store_watch.note_peer(
            message.daemon,
            lost=message.store_lost,
            stable_for=message.stable_for,
        )
        if message.namings is not None:
            told = _decode_namings(message.namings)
            note_history(self._forwarder.state, told)

    def _take_switch(self, message: SwitchMessage) -> None:
        for target in self._forwarder.state.targets.values():
            if target.address == message.address:
                load = self._forwarder.find_load(target)
                load.unavailable_until = read_clock() + message.seconds
                load.version = max(load.version, message.version)


async def exchange_loads(
    *, forwarder: Forwarder, list_relays: ListRelays
) -> None:
    """Tell the other entry daemons for ever."""
    settings = forwarder.settings
    host, _, port = settings.listen.peers.rpartition(':')
    receiver = LoadReceiver(forwarder=forwarder)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: receiver,
        local_addr=(host, int(port)),
    )
    turn = 0
    told: Counts = {}
    try:
        while True:
            turn += 1
            receiver.note_awake()
            counts = forwarder.count_running()
            if turn % FAR_ROUNDS == 0:
                await _tell(forwarder, transport, list_relays, is_far=True)
            elif counts != told:
                await _tell(forwarder, transport, list_relays, is_far=False)
            told = counts
            await asyncio.sleep(NEAR_SECONDS)
    finally:
        transport.close()


async def _tell(
    forwarder: Forwarder,
    transport: asyncio.DatagramTransport,
    list_relays: ListRelays,
    *,
    is_far: bool,
) -> None:
    """Tell the daemons of the own failure domain, or all of them."""
    settings = forwarder.settings
    message = LoadMessage(
        daemon=settings.daemon,
        counts=forwarder.count_running(),
        namings=_encode_namings(forwarder) if is_far else None,
        store_lost=forwarder.state.store_lost,
        stable_for=forwarder.store_watch.read_stable(),
    )
    content = msgspec.json.encode(message)
    relays = await list_relays()
    if relays:
        # An empty list was not read yet: the number assumed before stands.
        forwarder.fleet_retry_budget.daemons = len(relays)
    forwarder.store_watch.detect_outage([relay.daemon for relay in relays])
    for relay in relays:
        is_near = relay.failure_domain == settings.failure_domain
        if relay.daemon != settings.daemon and (is_near or is_far):
            transport.sendto(content, read_address(relay.address))


def _encode_namings(forwarder: Forwarder) -> VersionHistoryMessage:
    state, now = forwarder.state, read_clock_with_suspend()
    bound = forwarder.fleet.version_ms / 1000
    age = now - state.versions_complete_since
    return VersionHistoryMessage(
        versions={
            model: [
                VersionAnnouncement(
                    version=each.version,
                    age=round(now - each.seen_at, 2),
                    observed=each.observed,
                )
                for each in list_running(versions, now=now, bound=bound)
            ]
            for model, versions in state.weights.items()
        },
        complete_for=None if math.isinf(age) else round(age, 2),
    )


def _decode_namings(namings: VersionHistoryMessage) -> VersionHistory:
    now = read_clock_with_suspend()
    age = namings.complete_for
    return VersionHistory(
        versions={
            model: [
                NamedWeights(
                    version=each.version,
                    seen_at=now - each.age,
                    observed=each.observed,
                )
                for each in versions
            ]
            for model, versions in namings.versions.items()
        },
        since=math.inf if age is None else now - age,
    )


def read_address(address: str) -> tuple[str, int]:
    """Host and port of ``ip:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)

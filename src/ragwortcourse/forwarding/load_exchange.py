"""Exchange of request counts and versions between entry daemons.

Messages are UDP datagrams. The next message replaces a lost one, and no
daemon waits for an answer.
"""

import asyncio
import itertools
import logging
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from ragwortcourse.addresses import split_address
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.balancing.pace_news import (
    encode_news,
    note_news,
)
from ragwortcourse.forwarding.balancing.token_exchange import (
    list_excess,
    note_excess,
)
from ragwortcourse.forwarding.datagrams import (
    SendDatagram,
    build_datagram_sender,
)
from ragwortcourse.forwarding.fleet_updates import note_history
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_messages import (
    LoadMessage,
    SwitchMessage,
    VersionAnnouncement,
    VersionHistoryMessage,
)
from ragwortcourse.forwarding.named_weights import (
    AnnouncedVersion,
    VersionHistory,
    list_unexpired,
)
from ragwortcourse.forwarding.peer_counts import Counts
from ragwortcourse.forwarding.report_exchange import (
    ReportMessage,
    build_report_senders,
    note_report,
)
from ragwortcourse.forwarding.version_log import RequiredVersionLog
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.unreadable import UnreadableError

# Interval of messages within a failure domain; only a few requests arrive
# during one interval.
NEAR_SECONDS: Final = 0.1
# Every this many rounds the message also goes to other failure domains:
# bandwidth between regions is low.
FAR_ROUNDS: Final = 4
# Messages repeat the paces of the last message, which may be lost or late.
NEAR_NEWS_SECONDS: Final = 2 * NEAR_SECONDS
FAR_NEWS_SECONDS: Final = (FAR_ROUNDS + 1) * NEAR_SECONDS
# A longer gap between rounds is not explained by a busy host: the daemon or
# its host was suspended, and messages from the gap are read only now.
STANDSTILL_SECONDS: Final = 0.5
# Time needed to read the messages that queued up during the gap.
LATE_SECONDS: Final = 0.15

LOGGER: Final = logging.getLogger(__name__)

ListRelays = Callable[[], Awaitable[Sequence[RelayRecord]]]


Message = LoadMessage | SwitchMessage | ReportMessage


class LoadReceiver(asyncio.DatagramProtocol):
    """Receiver of the messages of other daemons."""

    def __init__(self, *, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._awake_at = read_clock_with_suspend()
        self._late_until = -math.inf

    def note_awake(self) -> None:
        """Note that the daemon runs; messages read after a gap count as late.

        Called at least once in each round.
        """
        now = read_clock_with_suspend()
        if now - self._awake_at > STANDSTILL_SECONDS:
            self._late_until = now + LATE_SECONDS
        self._awake_at = now

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Apply one message; log an unreadable one."""
        try:
            message: Message = decode_json(data, Message)
        except UnreadableError as error:
            LOGGER.warning(
                'unreadable load message ignored',
                extra={'sender': str(addr), 'detail': str(error)},
            )
            return
        if isinstance(message, LoadMessage):
            self._take_load(message)
        elif isinstance(message, SwitchMessage):
            self._take_switch(message)
        else:
            self._take_report(message)

    def _take_load(self, message: LoadMessage) -> None:
        self._forwarder.note_counts(message.daemon, message.counts)
        note_excess(self._forwarder, message)
        self.note_awake()
        if self._awake_at < self._late_until:
            # The ages in a late message may lack the time of the gap.
            return
        self._forwarder.store_watch.note_peer(
            message.daemon,
            lost=message.store_lost,
            stable_for=message.stable_for,
        )
        paces = self._forwarder.balancing.paces
        note_news(paces, message.paces, read_clock())
        if message.namings is not None:
            history = _decode_history(message.namings)
            note_history(self._forwarder.state, history, told_by=message.daemon)

    def _take_report(self, message: ReportMessage) -> None:
        self.note_awake()
        if self._awake_at >= self._late_until:
            note_report(self._forwarder, message)

    def _take_switch(self, message: SwitchMessage) -> None:
        for target in self._forwarder.state.targets.values():
            if target.address == message.address:
                load = self._forwarder.find_load(target)
                load.unavailable_until = read_clock() + message.seconds
                load.stated_version.note_loader(message.version, read_clock())


async def exchange_loads(
    *, forwarder: Forwarder, list_relays: ListRelays
) -> None:
    """Exchange messages with the other entry daemons until cancelled.

    :param list_relays: lists the registered entry daemons.
    """
    receiver = LoadReceiver(forwarder=forwarder)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: receiver,
        local_addr=split_address(forwarder.settings.listen.peers),
    )
    try:
        await send_rounds(
            receiver=receiver,
            forwarder=forwarder,
            send=build_datagram_sender(transport),
            list_relays=list_relays,
        )
    finally:
        transport.close()


async def send_rounds(
    *,
    forwarder: Forwarder,
    receiver: LoadReceiver,
    send: SendDatagram,
    list_relays: ListRelays,
) -> None:
    """Send the own messages in rounds until cancelled.

    :param receiver: learns in each round that the daemon runs.
    """
    senders = build_report_senders(forwarder, send)
    version_log = RequiredVersionLog(forwarder=forwarder)
    sent_counts: Counts = {}
    for round_number in itertools.count(1):
        receiver.note_awake()
        version_log.note_round()
        counts = forwarder.count_running()
        if round_number % FAR_ROUNDS == 0:
            await _broadcast(forwarder, send, list_relays, is_far=True)
        elif counts != sent_counts:
            await _broadcast(forwarder, send, list_relays, is_far=False)
        sent_counts = counts
        peers = await _list_peers(forwarder.settings.daemon, list_relays)
        for sender in senders:
            sender.send_round(peers, repeats=round_number % FAR_ROUNDS == 0)
        await asyncio.sleep(NEAR_SECONDS)


async def _list_peers(own: DaemonId, list_relays: ListRelays) -> list[str]:
    return [
        relay.address for relay in await list_relays() if relay.daemon != own
    ]


async def _broadcast(
    forwarder: Forwarder,
    send: SendDatagram,
    list_relays: ListRelays,
    *,
    is_far: bool,
) -> None:
    """Send a message to the daemons of the own failure domain, or to all.

    :param is_far: true to include other failure domains.
    """
    settings = forwarder.settings
    message = LoadMessage(
        daemon=settings.daemon,
        counts=forwarder.count_running(),
        namings=_encode_history(forwarder) if is_far else None,
        store_lost=forwarder.state.store_lost,
        stable_for=forwarder.store_watch.read_seconds_since_outage(),
        paces=encode_news(
            forwarder.balancing.paces,
            now=read_clock(),
            seconds=FAR_NEWS_SECONDS if is_far else NEAR_NEWS_SECONDS,
        ),
        excess=list_excess(forwarder),
    )
    content = msgspec.json.encode(message)
    relays = await list_relays()
    if relays:
        # An empty list has not been read yet; the assumed number stays.
        forwarder.safeguards.retry_budget.daemons = len(relays)
        forwarder.safeguards.daemon_ranking.register(relays)
    forwarder.store_watch.detect_outage([relay.daemon for relay in relays])
    for relay in relays:
        is_near = relay.failure_domain == settings.failure_domain
        if relay.daemon != settings.daemon and (is_near or is_far):
            send(content, relay.address)


def _encode_history(forwarder: Forwarder) -> VersionHistoryMessage:
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
                for each in list_unexpired(versions, now=now, bound=bound)
            ]
            for model, versions in state.weights.items()
        },
        complete_for=None if math.isinf(age) else round(age, 2),
    )


def _decode_history(namings: VersionHistoryMessage) -> VersionHistory:
    now = read_clock_with_suspend()
    age = namings.complete_for
    return VersionHistory(
        versions={
            model: [
                AnnouncedVersion(
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

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

from ragwortcourse.addresses import split_address
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.balancing.pace_news import (
    note_news,
)
from ragwortcourse.forwarding.balancing.token_exchange import (
    note_excess,
)
from ragwortcourse.forwarding.datagrams import (
    SendDatagram,
    build_datagram_sender,
)
from ragwortcourse.forwarding.dissemination.audience import choose_audience
from ragwortcourse.forwarding.dissemination.broadcast import Broadcast
from ragwortcourse.forwarding.dissemination.load_codec import (
    decode_history,
    encode_load,
)
from ragwortcourse.forwarding.fleet_updates import note_history
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.load_messages import (
    LoadMessage,
    SwitchMessage,
)
from ragwortcourse.forwarding.peer_counts import Counts
from ragwortcourse.forwarding.report_exchange import (
    ReportMessage,
    build_report_senders,
    note_report,
)
from ragwortcourse.forwarding.version_bounds import find_engine
from ragwortcourse.forwarding.version_log import RequiredVersionLog
from ragwortcourse.membership.relay_daemons import (
    RelayRecord,
    describe_daemon,
)
from ragwortcourse.unreadable import UnreadableError

# Interval of messages within a failure domain; only a few requests arrive
# during one interval.
NEAR_SECONDS: Final = 0.1
# Every this many rounds the message also goes to other failure domains, where
# one daemon of each passes it on: bandwidth between regions is low.
FAR_ROUNDS: Final = 4
# A longer gap between rounds is not explained by a busy host: the daemon or
# its host was suspended, and messages from the gap are read only now.
STANDSTILL_SECONDS: Final = 0.5
# Time needed to read the messages that queued up during the gap.
LATE_SECONDS: Final = 0.15

LOGGER: Final = logging.getLogger(__name__)

ListRelays = Callable[[], Awaitable[Sequence[RelayRecord]]]


Message = LoadMessage | SwitchMessage | ReportMessage


class LoadReceiver(asyncio.DatagramProtocol):
    """Receiver of the messages of other daemons.

    :ivar broadcast: passes messages on to daemons near by; none before the
        first round.
    """

    def __init__(self, *, forwarder: Forwarder) -> None:
        self.broadcast: Broadcast | None = None
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
        self.note_awake()
        if self.broadcast is not None:
            data = self.broadcast.receive(data, is_late=self._is_late)
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

    @property
    def _is_late(self) -> bool:
        """Tell whether messages that are read now may be from a gap."""
        return self._awake_at < self._late_until

    def _take_load(self, message: LoadMessage) -> None:
        self._forwarder.note_counts(message.daemon, message.counts)
        self._forwarder.scheduling.note_message(
            message.daemon, message.demand, message.urgent
        )
        note_excess(self._forwarder, message)
        if self._is_late:
            # The ages in a late message may lack the time of the gap.
            return
        self._forwarder.store_watch.note_peer(
            message.daemon,
            lost=message.store_lost,
            stable_for=message.stable_for,
        )
        self._forwarder.state.note_peer_version(message.state)
        paces = self._forwarder.balancing.paces
        note_news(paces, message.paces, read_clock())
        if message.retry is not None:
            self._forwarder.safeguards.retry_exchange.note_message(
                message.daemon, message.retry
            )
        if message.namings is not None:
            history = decode_history(message.namings)
            note_history(self._forwarder.state, history, told_by=message.daemon)

    def _take_report(self, message: ReportMessage) -> None:
        if not self._is_late:
            note_report(self._forwarder, message)

    def _take_switch(self, message: SwitchMessage) -> None:
        for target in self._forwarder.state.targets.values():
            if target.address != message.address:
                continue
            engine = find_engine(self._forwarder, target)
            model = None if engine is None else engine.model
            if message.model in {None, model}:
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
    broadcast = Broadcast(send=send)
    receiver.broadcast = broadcast
    senders = build_report_senders(forwarder, broadcast.send)
    version_log = RequiredVersionLog(forwarder=forwarder)
    sent_counts: Counts = {}
    relays: Sequence[RelayRecord] = ()
    own = describe_daemon(forwarder.settings)
    for round_number in itertools.count(1):
        receiver.note_awake()
        version_log.note_round()
        forwarder.scheduling.note_round()
        counts = forwarder.count_running()
        listed = await list_relays()
        if listed != relays:
            relays = listed
            _note_relays(forwarder, relays)
        forwarder.store_watch.detect_outage([each.daemon for each in relays])
        broadcast.audience = choose_audience(
            relays,
            own=own,
            is_alive=forwarder.store_watch.has_reported,
            rng=forwarder.rng,
        )
        if round_number % FAR_ROUNDS == 0:
            broadcast.send_all(encode_load(forwarder, is_far=True))
        elif counts != sent_counts:
            broadcast.send_near(encode_load(forwarder, is_far=False))
        sent_counts = counts
        _send_retries(forwarder, send, relays)
        for sender in senders:
            sender.send_round(
                broadcast.audience.addresses,
                repeats=round_number % FAR_ROUNDS == 0,
                daemons=len(relays),
            )
        await asyncio.sleep(NEAR_SECONDS)


def _note_relays(forwarder: Forwarder, relays: Sequence[RelayRecord]) -> None:
    """Note the registered daemons, which share the limits of the fleet."""
    if relays:
        # An empty list has not been read yet; the assumed ones stay.
        forwarder.safeguards.daemon_ranking.register(relays)


def _send_retries(
    forwarder: Forwarder, send: SendDatagram, relays: Sequence[RelayRecord]
) -> None:
    """Send wishes and grants of retries to the daemons that they are for."""
    messages = forwarder.safeguards.retry_exchange.write_round(relays)
    for relay in relays:
        retry = messages.get(relay.daemon)
        if retry is not None:
            content = encode_load(forwarder, is_far=False, retry=retry)
            send(content, relay.address)

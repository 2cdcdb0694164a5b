"""Sending of reports between entry daemons by datagrams.

Each daemon sends its own news to all others, some times. Standing reports
also go to one random daemon in each round, which reaches restarted daemons
and makes up for lost messages at a cost that does not grow with the number of
daemons.
"""

import math
import random
from collections.abc import Callable, Sequence
from typing import Final, Generic, TypeVar

from ragwortcourse.clock import read_clock_with_suspend

# Several rounds of messages.
NEWS_SECONDS: Final = 1.2

# Small reports in one message, about 2 KB.
REPORTS_PER_MESSAGE: Final = 32

Report = TypeVar('Report')


def draw_reports(known: Sequence[Report], rng: random.Random) -> list[Report]:
    """Draw as many reports as one message holds."""
    return rng.sample(known, min(len(known), REPORTS_PER_MESSAGE))


class ReportSender(Generic[Report]):
    """Sender of one kind of report of one daemon.

    :param list_news: lists what the daemon noted itself since a time, in
        seconds of the clock that runs during suspension, for a number of
        daemons that send such reports to each other.
    :param list_standing: lists the reports that every daemon must know;
        called in each round that repeats.
    :param encode: encodes reports as the content of one datagram.
    :param send: sends a datagram to an address, ``ip:port``.
    """

    def __init__(
        self,
        *,
        list_news: Callable[[float, int], list[Report]],
        list_standing: Callable[[], list[Report]],
        encode: Callable[[list[Report]], bytes],
        send: Callable[[bytes, str], None],
        rng: random.Random,
    ) -> None:
        self._list_news = list_news
        self._list_standing = list_standing
        self._encode = encode
        self._send = send
        self._rng = rng
        self._sent_until = -math.inf

    def send_round(
        self, peers: Sequence[str], *, repeats: bool, daemons: int = 0
    ) -> None:
        """Send reports to other daemons.

        :param peers: addresses that together reach all other daemons.
        :param repeats: true to send again what was sent in earlier rounds.
        :param daemons: registered daemons, this one included; zero if each
            address is that of one daemon.
        """
        now = read_clock_with_suspend()
        since = now - NEWS_SECONDS if repeats else self._sent_until
        self._sent_until = now
        news = self._list_news(since, daemons or len(peers) + 1)
        self._send_reports(news, peers)
        if repeats:
            chosen = self._rng.sample(peers, min(len(peers), 1))
            self._send_reports(self._list_standing(), chosen)

    def _send_reports(
        self, reports: list[Report], addresses: Sequence[str]
    ) -> None:
        if not reports:
            return
        content = self._encode(reports)
        for address in addresses:
            self._send(content, address)

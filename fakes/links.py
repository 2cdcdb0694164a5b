"""Simulated links of limited rate, for transfers in virtual time."""

import asyncio
import random
from collections import defaultdict
from collections.abc import AsyncIterator

from ragwortcourse.clock import read_clock

ORIGIN = 'origin'
PIECES = 4
SILENT_SECONDS = 2.0
FOREVER_SECONDS = 1e7


class Link:
    """One direction of a link, served first in, first out.

    :param rate: bytes per second.
    :ivar carried: bytes so far, as :class:`Network` counts them.
    """

    def __init__(self, *, rate: float) -> None:
        self.rate = rate
        self.carried = 0
        self._free_at = 0.0

    def reserve(self, size: float) -> float:
        """Queue some bytes and return the time at which they have passed.

        :param size: bytes.
        """
        self._free_at = max(self._free_at, read_clock()) + size / self.rate
        return self._free_at


class Network:
    """Links of all hosts, of the origin and between regions.

    :param rate: bytes per second of the link of each host, each way.
    :param line_rate: bytes per second between two regions, each way.
    :param latency: seconds one way.
    :ivar places: region and failure domain of each host and of the origin.
    :ivar dead: hosts that neither send nor receive.
    :ivar stalled: pairs of sender and receiver whose transfers hang.
    :ivar islands: groups of hosts cut off from all others.
    :ivar damage: probability that content is damaged on the way.
    :ivar damaging: senders whose content is always damaged.
    :ivar stopped_until: when the stopped link of each host goes on, in
        monotonic seconds.
    """

    def __init__(
        self,
        *,
        rate: float,
        line_rate: float,
        origin_region: str,
        latency: float = 0.001,
    ) -> None:
        self.rate = rate
        self.latency = latency
        self.up: dict[str, Link] = defaultdict(lambda: Link(rate=rate))
        self.down: dict[str, Link] = defaultdict(lambda: Link(rate=rate))
        self.region_links: dict[tuple[str, str], Link] = defaultdict(
            lambda: Link(rate=line_rate)
        )
        self.up[ORIGIN] = Link(rate=2 * rate)
        self.places: dict[str, tuple[str, str]] = {ORIGIN: (origin_region, '')}
        self.dead: set[str] = set()
        self.stalled: set[tuple[str, str]] = set()
        self.islands: list[frozenset[str]] = []
        self.damage = 0.0
        self.damaging: set[str] = set()
        self.stopped_until: dict[str, float] = {}
        self.rng = random.Random(1)

    def place(self, host: str, region: str, failure_domain: str) -> None:
        """Set the region and failure domain of a host."""
        self.places[host] = (region, failure_domain)

    def cut(self, hosts: frozenset[str]) -> None:
        """Cut some hosts off from all the others."""
        self.islands.append(hosts)

    def stop_links(self, *hosts: str, seconds: float) -> None:
        """Stop the links of hosts both ways for a while; nothing is lost."""
        self.stopped_until.update(dict.fromkeys(hosts, read_clock() + seconds))

    async def pass_stop(self, *hosts: str) -> None:
        """Wait until the links of all these hosts go on."""
        stopped_until = max(self.stopped_until.get(host, 0) for host in hosts)
        await asyncio.sleep(max(stopped_until - read_clock(), 0))

    def reaches(self, sender: str, receiver: str) -> bool:
        """Tell whether two hosts are alive and not cut off from each other."""
        if self.dead & {sender, receiver}:
            return False
        return all(
            (sender in island) == (receiver in island)
            for island in self.islands
        )

    async def send(self, sender: str, receiver: str, size: int) -> bool:
        """Transfer bytes in virtual time.

        :return: false if the receiver was cut off and the transfer failed.
        """
        return await self.send_pieces(sender, receiver, yield_parts(size))

    async def send_pieces(
        self, sender: str, receiver: str, pieces: AsyncIterator[float]
    ) -> bool:
        """Transfer bytes as :meth:`send` does, piece by piece.

        :param pieces: bytes of each piece, yielded when the sender has it.
        """
        if (sender, receiver) in self.stalled:
            await asyncio.sleep(FOREVER_SECONDS)
        arrived = read_clock()
        total = 0.0
        async for size in pieces:
            total += size
            arrived = await self._send_piece(sender, receiver, size)
            if not self.reaches(sender, receiver):
                await asyncio.sleep(SILENT_SECONDS)
                return False
        self.up[sender].carried += round(total)
        self.down[receiver].carried += round(total)
        await asyncio.sleep(max(arrived - read_clock(), 0) + self.latency)
        return True

    async def pass_live(self, sender: str, receiver: str, size: float) -> float:
        """Transfer a few bytes of a live request.

        :return: time of arrival.
        """
        arrived = await self._send_piece(sender, receiver, size)
        await asyncio.sleep(max(arrived - read_clock(), 0) + self.latency)
        return read_clock()

    async def _send_piece(
        self, sender: str, receiver: str, size: float
    ) -> float:
        await self.pass_stop(sender, receiver)
        await self._pass_link(self.up[sender], size)
        regions = (self.places[sender][0], self.places[receiver][0])
        if regions[0] != regions[1]:
            line = self.region_links[regions]
            line.carried += round(size)
            await self._pass_link(line, size)
        return self.down[receiver].reserve(size)

    async def _pass_link(self, link: Link, size: float) -> None:
        await asyncio.sleep(max(link.reserve(size) - read_clock(), 0))

    def damage_content(self, sender: str, content: bytes) -> bytes:
        """Return the content as received, damaged if a fault is set."""
        is_damaged = self.damage and self.rng.random() < self.damage
        if is_damaged or sender in self.damaging:
            return bytes([content[0] ^ 1]) + content[1:] if content else b'x'
        return content


async def yield_parts(size: int) -> AsyncIterator[float]:
    """Split a transfer of ``size`` bytes into equal parts."""
    for _ in range(PIECES):
        yield size / PIECES

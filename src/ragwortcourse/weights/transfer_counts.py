"""Byte counts of one transfer over a host's link."""

from collections import Counter
from typing import Final

from ragwortcourse.weights.rate import RateMeter

# Limit for the sum of a host's downloads and uploads, in copies of a version.
LINK_COPIES: Final = 2


class TransferCounts:
    """Byte counts of one transfer.

    :ivar received: verified bytes by kind of source.
    :ivar wasted: bytes of corrupted chunks.
    :ivar overhead: bytes of the manifest, received and sent.
    :ivar refetched: bytes of evicted chunks downloaded again for peers.
    :ivar sent: bytes of chunks sent to peers.
    :ivar declined: number of chunks that this host declined to send.
    :ivar corrupted: number of corrupted chunks.
    :ivar rate: current rate of verified bytes.
    """

    def __init__(self) -> None:
        self.received: Counter[str] = Counter()
        self.wasted = 0
        self.overhead = 0
        self.refetched = 0
        self.sent = 0
        self.declined = 0
        self.corrupted = 0
        self.rate = RateMeter()

    @property
    def verified(self) -> int:
        """Received bytes that had the expected digest."""
        return sum(self.received.values())

    def note_received(self, kind: str, size: int) -> None:
        """Count verified bytes by kind of source."""
        self.received[kind] += size
        self.rate.add(size)

    def note_corrupted(self, size: int) -> None:
        """Count a chunk that had another digest."""
        self.corrupted += 1
        self.wasted += size

    def may_send(self, size: int, whole: int) -> bool:
        """Return whether the link budget allows sending more bytes.

        Until the version is complete, room is kept for one damaged chunk.

        :param size: bytes to send.
        :param whole: bytes of the version.
        """
        reserve = 0 if self.verified >= whole else size
        return self.sent + size + reserve <= self._count_budget(whole)

    def count_lacking(self, whole: int, copies: float) -> float:
        """Return the bytes that the link budget lacks; negative: has left.

        :param whole: bytes of the version.
        :param copies: copies that peers ask of this host in all.
        """
        return copies * whole - self._count_budget(whole)

    def _count_budget(self, whole: int) -> int:
        """Return the bytes of chunks that this host may send in all."""
        own = max(whole, self.verified - self.refetched)
        others = self.refetched + self.wasted + self.overhead
        return LINK_COPIES * whole - own - others

"""Bytes of one transfer over this host's link."""

from collections import Counter
from typing import Final

from ragwortcourse.weights.rate import RateMeter

# Copies of a version that a host's link may carry, down and up together.
LINK_COPIES: Final = 2


class TransferCounts:
    """What came by kind of source, what was wasted, what was sent.

    The manifest that came is the overhead. Chunks that come once more for
    others are relayed.
    """

    def __init__(self) -> None:
        self.received: Counter[str] = Counter()
        self.wasted = 0
        self.overhead = 0
        self.refetched = 0
        self.sent = 0
        self.corrupted = 0
        self.rate = RateMeter()

    @property
    def verified(self) -> int:
        """Bytes that came and had the right digest."""
        return sum(self.received.values())

    def note_received(self, kind: str, size: int) -> None:
        """Count verified bytes by kind of source."""
        self.received[kind] += size
        self.rate.add(size)

    def note_corrupted(self, size: int) -> None:
        """Count a chunk that came with another digest."""
        self.corrupted += 1
        self.wasted += size

    def may_send(self, size: int, whole: int) -> bool:
        """Tell whether the host's link may carry so many bytes more.

        :param whole: bytes of the version.
        """
        own = max(whole, self.verified - self.refetched)
        others = self.refetched + self.wasted + self.overhead
        return own + others + self.sent + size <= LINK_COPIES * whole

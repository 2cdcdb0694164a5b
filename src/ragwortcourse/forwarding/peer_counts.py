"""Requests of other entry daemons at one target."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from ragwortcourse.identifiers import DaemonId

# Other entry daemons tell more often than that while they live.
FRESH_SECONDS: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerCount:
    """Requests that another entry daemon has at a target.

    :param starting: those of them that have no answer yet.
    """

    running: int
    starting: int
    told_at: float


class PeerCounts:
    """What other entry daemons told last."""

    def __init__(self) -> None:
        self._counts: dict[DaemonId, PeerCount] = {}

    def note(self, daemon: DaemonId, count: PeerCount) -> None:
        """Take another entry daemon's word."""
        if count.running:
            self._counts[daemon] = count
        else:
            self._counts.pop(daemon, None)

    def count_running(self, now: float) -> int:
        """Requests under way."""
        return sum(count.running for count in self._list_fresh(now))

    def count_starting(self, now: float) -> int:
        """Requests without an answer yet."""
        return sum(count.starting for count in self._list_fresh(now))

    def _list_fresh(self, now: float) -> Iterator[PeerCount]:
        return (
            count
            for count in self._counts.values()
            if now - count.told_at < FRESH_SECONDS
        )

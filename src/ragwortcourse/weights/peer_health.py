"""Which peers are passed by, and for how long."""

import asyncio
import contextlib
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Iterable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId

# A peer that did not answer is passed by for so long at first.
SUSPECT_SECONDS: Final = 5.0
# While one request tries it again, others pass it by for so long.
TRIAL_SECONDS: Final = 5.0
LONGEST_SUSPECT_SECONDS: Final = 120.0
SUSPECT_GROWTH: Final = 4
# Silence that several requests meet at the same time counts once.
BURST_SECONDS: Final = 1.0
# Others are told of a peer's silence for so long, and of so many peers.
NEWS_SECONDS: Final = 10.0
MOST_NEWS: Final = 8
# What others say of a peer counts if it was not heard for so long.
FRESH_SECONDS: Final = 2.0
# A peer that sent so many damaged chunks is shut out.
STRIKES: Final = 3
SHUT_OUT_SECONDS: Final = 600.0
SMOOTHING: Final = 0.125


class PeerHealth:
    """What this host has seen of its peers' faults."""

    def __init__(self) -> None:
        self.usual_seconds: float = 0
        self._passed_by_until: dict[DaemonId, float] = {}
        self._silences: Counter[DaemonId] = Counter()
        self._strikes: Counter[DaemonId] = Counter()
        self._heard_at: dict[DaemonId, float] = {}
        self._silent_at: dict[DaemonId, float] = {}
        self._waits: dict[DaemonId, set[asyncio.Timeout]] = defaultdict(set)

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, peer: DaemonId, seconds: float
    ) -> AsyncIterator[None]:
        """Wait for a peer's answer, until another wait finds it silent.

        :raises TimeoutError: it is silent, or the seconds are over.
        """
        waits = self._waits[peer]
        async with asyncio.timeout(seconds) as wait:
            waits.add(wait)
            try:
                yield
            finally:
                waits.discard(wait)

    def note_seconds(self, seconds: float) -> None:
        """Take in how long a chunk took to come."""
        self.usual_seconds += (seconds - self.usual_seconds) * SMOOTHING

    def is_passed_by(self, peer: DaemonId) -> bool:
        """Tell whether to ask somebody else for now.

        A peer that was silent is tried again by one request at a time.
        """
        if self._passed_by_until.get(peer, 0) > read_clock():
            return True
        if self._silences[peer]:
            self._pass_by(peer, TRIAL_SECONDS)
        return False

    def list_absent(self) -> frozenset[DaemonId]:
        """Peers that are passed by, or have not answered since."""
        now = read_clock()
        passed_by = (
            peer for peer, until in self._passed_by_until.items() if until > now
        )
        return frozenset(passed_by) | frozenset(+self._silences)

    def list_recently_silent(self) -> tuple[DaemonId, ...]:
        """Peers that fell silent lately, as other hosts should know."""
        since = read_clock() - NEWS_SECONDS
        news = [
            peer
            for peer in self._silences
            if self._silent_at.get(peer, 0) > since
        ]
        return tuple(news[-MOST_NEWS:])

    def merge_silence_reports(self, silent: Iterable[DaemonId]) -> None:
        """Pass by peers that others found silent, unless heard lately."""
        since = read_clock() - FRESH_SECONDS
        for peer in silent:
            is_fresh = self._heard_at.get(peer, since) > since
            if not (is_fresh or peer in self._silences):
                self.note_silence(peer)

    def note_answer(self, peer: DaemonId) -> None:
        """Note that a peer answered."""
        self._heard_at[peer] = read_clock()
        if self._silences.pop(peer, 0):
            self._passed_by_until.pop(peer, None)

    def note_silence(self, peer: DaemonId) -> None:
        """Note that a peer did not answer, or stalled."""
        now = read_clock()
        if now - self._silent_at.get(peer, float('-inf')) < BURST_SECONDS:
            return
        self._silent_at[peer] = now
        wait = SUSPECT_SECONDS * SUSPECT_GROWTH ** min(self._silences[peer], 8)
        self._silences[peer] += 1
        self._pass_by(peer, min(wait, LONGEST_SUSPECT_SECONDS))
        for other in self._waits.pop(peer, set()):
            if not other.expired():
                other.reschedule(now)

    def note_damage(self, peer: DaemonId) -> bool:
        """Note a damaged chunk; tell whether the peer is shut out now."""
        self._strikes[peer] += 1
        if self._strikes[peer] < STRIKES:
            return False
        self._strikes.pop(peer)
        self._pass_by(peer, SHUT_OUT_SECONDS)
        return True

    def _pass_by(self, peer: DaemonId, seconds: float) -> None:
        until = read_clock() + seconds
        held = self._passed_by_until.get(peer, 0)
        self._passed_by_until[peer] = max(held, until)

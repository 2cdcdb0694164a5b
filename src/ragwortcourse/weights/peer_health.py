"""Outlier ejection of peers that are silent or send damaged chunks."""

import asyncio
import contextlib
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Iterable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId

# First ejection of a peer that did not answer.
FIRST_SILENCE_EJECTION_SECONDS: Final = 5.0
# Time in which one request probes a silent peer while others avoid the peer.
PROBE_SECONDS: Final = 5.0
MAX_SILENCE_EJECTION_SECONDS: Final = 120.0
# Factor between one ejection and the next.
EJECTION_BACKOFF_FACTOR: Final = 4
# Time-outs of concurrent requests within this time count as one.
BURST_SECONDS: Final = 1.0
# Other hosts are told of a peer's silence for this time, and of at most
# ``MAX_REPORTED_PEERS`` peers.
REPORT_SECONDS: Final = 10.0
MAX_REPORTED_PEERS: Final = 8
# Reports of other hosts count only for peers without an answer in this time.
HEARD_RECENTLY_SECONDS: Final = 2.0
# Damaged chunks after which a peer is ejected for ``DAMAGE_EJECTION_SECONDS``.
DAMAGED_CHUNKS_BEFORE_EJECTION: Final = 3
DAMAGE_EJECTION_SECONDS: Final = 600.0
SMOOTHING: Final = 0.125


class PeerHealth:
    """Faults of its peers that this host has seen.

    :ivar usual_seconds: moving average of the time for one chunk.
    :ivar usual_probe_seconds: moving average of the time for one probe.
    :ivar heard_at: monotonic seconds at which a peer or the origin last
        answered.
    """

    def __init__(self) -> None:
        self.usual_seconds: float = 0
        self.usual_probe_seconds: float = 0
        self.heard_at = float('-inf')
        self._ejected_until: dict[DaemonId, float] = {}
        self._silences: Counter[DaemonId] = Counter()
        self._damaged_chunks: Counter[DaemonId] = Counter()
        self._heard_at: dict[DaemonId, float] = {}
        self._silent_at: dict[DaemonId, float] = {}
        self._quiet_since: dict[DaemonId, float] = {}
        self._waits: dict[DaemonId, set[asyncio.Timeout]] = defaultdict(set)

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, peer: DaemonId, seconds: float
    ) -> AsyncIterator[None]:
        """Limit the wait for a peer's answer.

        The wait also ends when another request finds the peer silent.

        :raises TimeoutError: the peer is silent, or the seconds are over.
        """
        waits = self._waits[peer]
        if not waits:
            self._quiet_since[peer] = read_clock()
        async with asyncio.timeout(seconds) as wait:
            waits.add(wait)
            try:
                yield
            finally:
                waits.discard(wait)

    def note_seconds(self, seconds: float) -> None:
        """Add the time for one chunk to the moving average."""
        self.usual_seconds += (seconds - self.usual_seconds) * SMOOTHING

    def note_probe_seconds(self, seconds: float) -> None:
        """Add the time for one probe to the moving average."""
        self.usual_probe_seconds += (
            seconds - self.usual_probe_seconds
        ) * SMOOTHING

    def was_heard_since(self, peer: DaemonId, since: float) -> bool:
        """Tell whether a peer asked or answered since a monotonic time."""
        return self._heard_at.get(peer, float('-inf')) >= since

    def take_quiet(self, seconds: float) -> DaemonId | None:
        """Return the peer that has been quiet longest with requests under way.

        It is not returned again before the same time is over.

        :param seconds: shortest time without an answer or a request.
        """
        quiet = {
            peer: max(self._quiet_since[peer], self._heard_at.get(peer, 0))
            for peer, waits in self._waits.items()
            if waits
        }
        longest = min(quiet, key=quiet.__getitem__, default=None)
        if longest is None or read_clock() - quiet[longest] < seconds:
            return None
        self._quiet_since[longest] = read_clock()
        return longest

    def is_ejected(self, peer: DaemonId) -> bool:
        """Tell whether to avoid a peer for now.

        A peer that was silent is probed by one request at a time.
        """
        if self._ejected_until.get(peer, 0) > read_clock():
            return True
        if self._silences[peer]:
            self._eject(peer, PROBE_SECONDS)
        return False

    def list_ejected(self) -> frozenset[DaemonId]:
        """Return peers that are ejected, or still silent after an ejection."""
        now = read_clock()
        ejected = (
            peer for peer, until in self._ejected_until.items() if until > now
        )
        return frozenset(ejected) | frozenset(+self._silences)

    def list_recently_silent(self) -> tuple[DaemonId, ...]:
        """Return peers that fell silent lately, to report to other hosts."""
        since = read_clock() - REPORT_SECONDS
        reported = [
            peer
            for peer in self._silences
            if self._silent_at.get(peer, 0) > since
        ]
        return tuple(reported[-MAX_REPORTED_PEERS:])

    def merge_silence_reports(self, silent: Iterable[DaemonId]) -> None:
        """Eject peers that others found silent, unless they answered lately."""
        since = read_clock() - HEARD_RECENTLY_SECONDS
        for peer in silent:
            heard_recently = self._heard_at.get(peer, since) > since
            if not (heard_recently or peer in self._silences):
                self.note_silence(peer)

    def note_answer(self, peer: DaemonId) -> None:
        """Note that a peer answered; end the ejection of a silent peer."""
        self.heard_at = read_clock()
        self._heard_at[peer] = self.heard_at
        if self._silences.pop(peer, 0):
            self._ejected_until.pop(peer, None)

    def note_silence(self, peer: DaemonId) -> None:
        """Note that a peer did not answer, or stalled."""
        now = read_clock()
        if now - self._silent_at.get(peer, float('-inf')) < BURST_SECONDS:
            return
        self._silent_at[peer] = now
        wait = FIRST_SILENCE_EJECTION_SECONDS * EJECTION_BACKOFF_FACTOR ** min(
            self._silences[peer], 8
        )
        self._silences[peer] += 1
        self._eject(peer, min(wait, MAX_SILENCE_EJECTION_SECONDS))
        for other in self._waits.pop(peer, set()):
            if not other.expired():
                other.reschedule(now)

    def note_damage(self, peer: DaemonId) -> bool:
        """Note a damaged chunk; tell whether the peer is ejected for it."""
        self._damaged_chunks[peer] += 1
        if self._damaged_chunks[peer] < DAMAGED_CHUNKS_BEFORE_EJECTION:
            return False
        self._damaged_chunks.pop(peer)
        self._eject(peer, DAMAGE_EJECTION_SECONDS)
        return True

    def _eject(self, peer: DaemonId, seconds: float) -> None:
        until = read_clock() + seconds
        ejected_until = self._ejected_until.get(peer, 0)
        self._ejected_until[peer] = max(ejected_until, until)

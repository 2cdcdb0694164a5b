"""Which peers are passed by, and for how long."""

from collections import Counter
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId

# A peer that did not answer is passed by for so long at first.
SUSPECT_SECONDS: Final = 5.0
# While one request tries it again, others pass it by for so long.
TRIAL_SECONDS: Final = 5.0
LONGEST_SUSPECT_SECONDS: Final = 120.0
SUSPECT_GROWTH: Final = 4
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

    def note_answer(self, peer: DaemonId) -> None:
        """Note that a peer answered."""
        if self._silences.pop(peer, 0):
            self._passed_by_until.pop(peer, None)

    def note_silence(self, peer: DaemonId) -> None:
        """Note that a peer did not answer, or stalled."""
        wait = SUSPECT_SECONDS * SUSPECT_GROWTH ** min(self._silences[peer], 8)
        self._silences[peer] += 1
        self._pass_by(peer, min(wait, LONGEST_SUSPECT_SECONDS))

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

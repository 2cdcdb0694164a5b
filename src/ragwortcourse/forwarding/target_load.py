"""What a daemon knows of the load and health of one target."""

import dataclasses
import math
from collections.abc import Iterator
from typing import Final

from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import DaemonId

# Reports lose weight until they say nothing any more.
REPORT_SECONDS: Final = 3.0
# Other entry daemons tell more often than that while they live.
PEER_SECONDS: Final = 1.5
# A target's own word is older than what the daemons tell each other.
UNTOLD_SHARE: Final = 0.5
# A failure counts half after this time.
TROUBLE_HALF_LIFE_SECONDS: Final = 2.0
# Answers that end together have one cause.
SAME_FAILURE_SECONDS: Final = 0.2
# A refusing target is passed by for this long: some passes of an engine.
REFUSED_SECONDS: Final = 0.15
# A target that cuts answers off may be changing its weights.
CUT_SECONDS: Final = 0.4
FIRST_AVOIDED_SECONDS: Final = 0.4
LONGEST_AVOIDED_SECONDS: Final = 4.0
# Weight of the newest answer in the mean time of answers.
LATENCY_SMOOTHING: Final = 0.1
WINDOW_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerCount:
    """Requests that another entry daemon has at a target.

    :param starting: those of them that have no answer yet.
    """

    running: int
    starting: int
    told_at: float


class TargetLoad:
    """Requests under way at one incarnation of a target, and its signs.

    :param born: incarnation that this is about.
    """

    def __init__(self, *, born: int) -> None:
        self.born = born
        self.own = 0
        self.starting = 0
        self.closed_until: float = 0
        self.cold_until: float = 0
        self.avoided_until: float = 0
        self.latency: float | None = None
        self.version = 0
        self._peers: dict[DaemonId, PeerCount] = {}
        self._others: float = 0
        self._reported_at: float = 0
        self._sign_at: float = 0
        self._trouble: float = 0
        self._trouble_at: float = 0
        self._avoided_for: float = FIRST_AVOIDED_SECONDS
        self._sent_at: list[float] = []

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        if not self.own:
            self._sign_at = now
        self.own += 1
        self.starting += 1
        self._sent_at = [
            sent for sent in self._sent_at if now - sent < WINDOW_SECONDS
        ]
        self._sent_at.append(now)

    def start(self) -> None:
        """Count a request whose answer has begun, or that has failed."""
        self.starting -= 1

    def end(self) -> None:
        """Count a request that has ended."""
        self.own -= 1

    def note_sign(self, now: float) -> None:
        """Note that the target sent something."""
        self._sign_at = now

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take the target's own word."""
        self._others = max(load.running + load.waiting - self.own, 0)
        self._reported_at = now

    def note_peer(self, daemon: DaemonId, count: PeerCount) -> None:
        """Take another entry daemon's word for its own requests there."""
        if count.running:
            self._peers[daemon] = count
        else:
            self._peers.pop(daemon, None)

    def note_success(self, seconds: float) -> None:
        """Count a good answer.

        :param seconds: until its first byte.
        """
        self._avoided_for = FIRST_AVOIDED_SECONDS
        if self.latency is None:
            self.latency = seconds
        self.latency += LATENCY_SMOOTHING * (seconds - self.latency)

    def note_refusal(self, now: float) -> None:
        """Count a request that the target did not run."""
        self.avoided_until = max(self.avoided_until, now + REFUSED_SECONDS)

    def note_failure(self, now: float) -> None:
        """Count an answer that the target owes or spoilt."""
        if now - self._trouble_at < SAME_FAILURE_SECONDS:
            return
        self.avoided_until = max(self.avoided_until, now + CUT_SECONDS)
        self._trouble = self.read_trouble(now) + 1
        self._trouble_at = now

    def note_unreachable(self, now: float) -> None:
        """Count a connection that did not come about; pass the target by."""
        self.note_failure(now)
        self.avoided_until = now + self._avoided_for
        self._avoided_for = min(self._avoided_for * 2, LONGEST_AVOIDED_SECONDS)

    def estimate(self, now: float) -> float:
        """Requests believed to be there, those of other daemons included."""
        told = sum(count.running for count in self._list_told(now))
        age = now - self._reported_at
        weight = max(1 - age / REPORT_SECONDS, 0)
        return self.own + max(told, self._others * weight * UNTOLD_SHARE)

    def estimate_starting(self, now: float) -> int:
        """Requests whose prompts are believed to be still unread."""
        told = sum(count.starting for count in self._list_told(now))
        return self.starting + told

    def _list_told(self, now: float) -> Iterator[PeerCount]:
        return (
            count
            for count in self._peers.values()
            if now - count.told_at < PEER_SECONDS
        )

    def read_trouble(self, now: float) -> float:
        """Failures of late, the older ones counting less."""
        age = now - self._trouble_at
        return self._trouble * math.exp2(-age / TROUBLE_HALF_LIFE_SECONDS)

    def read_silence(self, now: float) -> float:
        """Seconds without a sign while requests are under way."""
        return now - self._sign_at if self.own else 0

    def read_version(self, target: Target) -> int:
        """Weights that the target has, by its entry or its newer answers."""
        held = target.weights
        return max(self.version, 0 if held is None else held.version)

    def count_recent(self, now: float) -> int:
        """Requests sent within the last second."""
        return sum(now - sent < WINDOW_SECONDS for sent in self._sent_at)

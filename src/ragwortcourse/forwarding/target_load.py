"""What a daemon knows of the load and health of one target."""

from typing import Final

from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.peer_counts import PeerCounts
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_health import TargetHealth
from ragwortcourse.identifiers import TargetName

# Reports lose weight until they say nothing any more.
REPORT_SECONDS: Final = 3.0
# A target's own word is older than what the daemons tell each other.
REPORT_SHARE: Final = 0.5
# Weight of the newest answer in the mean time of answers.
LATENCY_SMOOTHING: Final = 0.1
WINDOW_SECONDS: Final = 1.0


class TargetLoad:
    """Requests under way at one incarnation of a target, and its signs.

    ``unavailable_until`` is when it last began, or will begin, to take work;
    ``own`` are this daemon's requests, ``unanswered`` those of them without
    an answer yet; ``latency`` is the mean time to the first bytes of its
    answers, none while there were none.

    :param born: incarnation that this is about.
    :param peers: requests of other daemons at all targets.
    """

    def __init__(
        self, *, name: TargetName, born: int, peers: PeerCounts
    ) -> None:
        self.born = born
        self.own = 0
        self.unanswered = 0
        self.unavailable_until: float = 0
        self.cold_until: float = 0
        self.latency: float | None = None
        self.version = 0
        self.target_health = TargetHealth()
        self._name = name
        self._peers = peers
        self._others: float = 0
        self._reported_at: float = 0
        self._sign_at: float = 0
        self._sent_at: list[float] = []

    def count_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if not self.own:
            self._sign_at = now
        self.own += 1
        self.unanswered += 1
        self._sent_at = [
            sent for sent in self._sent_at if now - sent < WINDOW_SECONDS
        ]
        self._sent_at.append(now)

    def count_answer_begun(self) -> None:
        """Count a request whose answer has begun, or that has failed."""
        self.unanswered -= 1

    def count_ended(self) -> None:
        """Count a request that has ended."""
        self.own -= 1

    def note_sign(self, now: float) -> None:
        """Note that the target sent something."""
        self._sign_at = now

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take the target's own word."""
        self._others = max(load.running + load.waiting - self.own, 0)
        self._reported_at = now

    def note_success(self, seconds: float) -> None:
        """Count a good answer.

        :param seconds: until its first byte.
        """
        self.target_health.note_success()
        if self.latency is None:
            self.latency = seconds
        self.latency += LATENCY_SMOOTHING * (seconds - self.latency)

    def estimate(self, now: float) -> float:
        """Requests believed to be there, those of other daemons included."""
        age = now - self._reported_at
        weight = max(1 - age / REPORT_SECONDS, 0) * REPORT_SHARE
        told = self._peers.count_running(self._name, now)
        return self.own + max(told, self._others * weight)

    def estimate_unanswered(self, now: float) -> int:
        """Requests whose prompts are believed to be still unread."""
        return self.unanswered + self._peers.count_unanswered(self._name, now)

    def read_silence(self, now: float) -> float:
        """Seconds without a sign while requests are under way."""
        return now - self._sign_at if self.own else 0

    def read_version(self, target: Target) -> int:
        """Weights that the target has, by its entry or its newer answers."""
        held = target.weights
        return max(self.version, 0 if held is None else held.version)

    def is_passed_by(self, now: float) -> bool:
        """Tell whether others are to be preferred for the moment."""
        return (
            max(self.target_health.avoided_until, self.unavailable_until) > now
        )

    def count_recent(self, now: float) -> int:
        """Requests sent within the last second."""
        return sum(now - sent < WINDOW_SECONDS for sent in self._sent_at)

"""Load and health of one target as known to one daemon."""

import math
from typing import Final

from ragwortcourse.forwarding.answer_head import AnswerHead, ReportedLoad
from ragwortcourse.forwarding.peer_counts import PeerCounts
from ragwortcourse.forwarding.stated_version import StatedVersion
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_health import TargetHealth
from ragwortcourse.identifiers import TargetName

# The weight of a target's load report falls to zero over this time.
REPORT_SECONDS: Final = 3.0
# A load report of a target is older than the counts that daemons exchange.
REPORT_SHARE: Final = 0.5
# A report with a pace comes from an engine as an answer begins. It then knows
# more than the counts of other daemons, which are up to this old.
FRESH_REPORT_SECONDS: Final = 0.4
# Weight of the newest answer in the mean latency.
LATENCY_SMOOTHING: Final = 0.1
WINDOW_SECONDS: Final = 1.0


class TargetLoad:
    """Requests that are running at one incarnation of a target.

    ``unavailable_until`` is the time at which the target last began, or will
    begin, to take requests. ``own`` counts the requests of this daemon, and
    ``unanswered`` those of them without an answer yet; ``own_tokens`` sums the
    tokens that they are expected to need in memory. ``latency`` is the
    mean time to the first bytes of an answer, none before the first answer.
    ``answered_sent_at`` is when the newest request was sent that the target
    answered, in seconds of the clock that runs during suspension.

    :param born: start time of the incarnation.
    :param peers: requests of other daemons at all targets.
    """

    def __init__(
        self, *, name: TargetName, born: int, peers: PeerCounts
    ) -> None:
        self.born = born
        self.own = 0
        self.own_tokens: float = 0
        self.unanswered = 0
        self.unavailable_until: float = 0
        self.cold_until: float = 0
        self.answered_sent_at: float = -math.inf
        self.latency: float | None = None
        self.stated_version = StatedVersion()
        self.target_health = TargetHealth()
        self._name = name
        self._peers = peers
        self._others: float = 0
        self._reported_at: float = 0
        self._is_exact = False
        self._sign_at: float = 0
        self._sent_at: list[float] = []

    def count_sent(self, now: float, tokens: float = 0) -> None:
        """Count a request sent to the target.

        :param tokens: that it is expected to need in the target's memory.
        """
        self.own_tokens += tokens
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

    def count_ended(self, tokens: float = 0) -> None:
        """Count a request that has ended.

        :param tokens: with which it was counted as sent.
        """
        self.own -= 1
        self.own_tokens = max(self.own_tokens - tokens, 0) if self.own else 0

    def note_sign(self, now: float) -> None:
        """Note that the target sent data."""
        self._sign_at = now

    def note_head(
        self, head: AnswerHead, now: float, *, target: Target, sent_at: float
    ) -> None:
        """Apply what the head of an answer of the target tells about it.

        :param target: its entry as the request was sent.
        :param sent_at: monotonic seconds at which the request was sent.
        """
        if head.load is not None:
            self.note_load(head.load, now)
        if head.cold_seconds is not None:
            self.cold_until = now + head.cold_seconds
        if head.version is not None:
            self.stated_version.note_answer(
                head.version,
                listed=target.version,
                sent_at=sent_at,
                now=now,
            )

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Apply a load report of the target."""
        self._others = max(load.running + load.waiting - self.own, 0)
        self._reported_at = now
        self._is_exact = load.pace is not None

    def note_success(self, seconds: float) -> None:
        """Note a successful answer.

        :param seconds: time to the first byte.
        """
        self.target_health.note_success()
        if self.latency is None:
            self.latency = seconds
        self.latency += LATENCY_SMOOTHING * (seconds - self.latency)

    def estimate(self, now: float) -> float:
        """Estimate the requests of all daemons at the target."""
        age = now - self._reported_at
        if self._is_exact:
            counted = self._peers.count_running(self._name, now)
            share = max(1 - age / FRESH_REPORT_SECONDS, 0)
            return self.own + counted + (self._others - counted) * share
        weight = max(1 - age / REPORT_SECONDS, 0) * REPORT_SHARE
        reported = self._peers.count_running(self._name, now)
        return self.own + max(reported, self._others * weight)

    def estimate_unanswered(self, now: float) -> int:
        """Estimate the requests of all daemons without an answer yet."""
        return self.unanswered + self._peers.count_unanswered(self._name, now)

    def read_silence(self, now: float) -> float:
        """Read the seconds without data from the target.

        :return: zero if no request of this daemon is running.
        """
        return now - self._sign_at if self.own else 0

    def read_version(self, target: Target) -> int:
        """Read the version of the weights, by the entry or newer statements."""
        return self.stated_version.read(target.version)

    def is_avoided(self, now: float) -> bool:
        """Tell whether other targets are preferred for now."""
        return (
            max(self.target_health.avoided_until, self.unavailable_until) > now
        )

    def count_recent(self, now: float) -> int:
        """Count the requests sent within the last second."""
        return sum(now - sent < WINDOW_SECONDS for sent in self._sent_at)

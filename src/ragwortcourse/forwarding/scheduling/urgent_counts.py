"""Requests without an answer at each target, by urgency."""

from collections.abc import Callable, Mapping
from typing import Final

from ragwortcourse.forwarding.peer_counts import Counts, PeerCounts
from ragwortcourse.identifiers import DaemonId, TargetName

# The most urgent priorities, which are counted; few bytes tell two counts.
COUNTED_URGENCIES: Final = 2
NO_COUNTS: Final = (0, 0)


class UrgentCounts:
    """Unanswered requests of all daemons of the two most urgent priorities.

    All others are the rest of the unanswered requests.
    """

    def __init__(self) -> None:
        self._own: dict[TargetName, tuple[int, int]] = {}
        self._peers = PeerCounts()

    @property
    def own(self) -> Mapping[TargetName, tuple[int, int]]:
        """Requests of this daemon, of each urgency, at each target."""
        return self._own

    def count_sent(
        self, target: TargetName, urgency: int
    ) -> Callable[[], None]:
        """Count a request that is sent.

        :return: to be called at the beginning of its answer, or at its end.
        """
        if urgency >= COUNTED_URGENCIES:
            return _do_nothing
        self._shift(target, urgency, 1)
        is_counted = True

        def count_answer_begun() -> None:
            nonlocal is_counted  # noqa: WPS420
            if is_counted:
                is_counted = False
                self._shift(target, urgency, -1)

        return count_answer_begun

    def note_counts(self, daemon: DaemonId, counts: Counts, now: float) -> None:
        """Replace the counts that another daemon reported."""
        self._peers.note(daemon, counts, now)

    def forget(self, target: TargetName) -> None:
        """Drop what other daemons reported of a target that restarted."""
        self._peers.forget(target)

    def estimate(self, target: TargetName, urgency: int, now: float) -> int:
        """Estimate the unanswered requests that are at least as urgent.

        :param urgency: below ``COUNTED_URGENCIES``.
        """
        own = self._own.get(target, NO_COUNTS)
        others = self._peers.read_sums(target, now)
        return sum(own[: urgency + 1]) + sum(others[: urgency + 1])

    def _shift(self, target: TargetName, urgency: int, change: int) -> None:
        counts = list(self._own.get(target, NO_COUNTS))
        counts[urgency] += change
        if any(counts):
            self._own[target] = counts[0], counts[1]
        else:
            self._own.pop(target, None)


def _do_nothing() -> None:
    """Count nothing."""

"""Crashes that one request may have caused."""

import math

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.lost_run import LostRun
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import Fingerprint


class RequestCrashes:
    """Notes of one request to the crash guard.

    ``sent_at`` is when the request was last sent to a target, in seconds of
    the clock that runs during suspension.

    :param fingerprint: the same for each repeat of the request by its caller.
    """

    def __init__(self, *, guard: CrashGuard, fingerprint: Fingerprint) -> None:
        self.fingerprint = fingerprint
        self.sent_at = -math.inf
        self._guard = guard
        self._target: Target | None = None

    def allow_repeat(self) -> bool:
        """Tell whether the request may be sent to one more target at once."""
        return self._guard.allows_repeat(self.fingerprint)

    def note_sent(self, target: Target) -> None:
        """Note that the request is sent to a target."""
        self._target = target
        self.sent_at = read_clock_with_suspend()

    def note_not_run(self) -> None:
        """Note that the last target did not run the request."""
        self._target = None

    def note_answered(self) -> None:
        """Note that the answer of a target arrived whole."""
        self._guard.note_answered(self.fingerprint)

    def note_lost(self, cause: LossCause) -> None:
        """Note that the answer of the last target was lost."""
        target = self._target
        if target is None or cause is LossCause.INVALID:
            return
        self._guard.note_lost(
            self.fingerprint,
            LostRun(
                target=target.name,
                born=target.born,
                sent_at=self.sent_at,
                lost_at=read_clock_with_suspend(),
            ),
        )

"""Crashes that one request may have caused."""

import math
from collections.abc import Sequence
from typing import Final

from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.loss_cause import LossCause
from ragwortcourse.forwarding.lost_run import LostRun, RunEnd
from ragwortcourse.forwarding.target import Target

# A part of a prompt crashes a target as the target begins to write, within
# some passes of a loaded engine. One that writes for longer clears the part.
WRITING_SECONDS: Final = 1.0
# A target that owed the next piece of an answer for this long when its caller
# left may have ended.
ABANDONED_SECONDS: Final = 1.0
ENDS: Final = {
    LossCause.CUT: RunEnd.CUT,
    LossCause.SILENCE: RunEnd.SILENT,
}


class RequestCrashes:
    """Notes of one request to the crash guard.

    ``sent_at`` is when the request was last sent to a target, in seconds of
    the clock that runs during suspension.

    :param suspects: the request itself and the parts of its prompt.
    """

    def __init__(
        self, *, guard: CrashGuard, suspects: Sequence[Suspect]
    ) -> None:
        self.suspects = suspects
        self.sent_at = -math.inf
        self._guard = guard
        self._parts = tuple(
            each for each in suspects if each.kind is SuspectKind.PROMPT_PART
        )
        self._target: Target | None = None
        self._sign_at = -math.inf
        self._is_settled = True
        self._began_at: float | None = None
        self._parts_cleared = False

    def note_sent(self, target: Target) -> None:
        """Note that the request is sent to a target."""
        self._target = target
        self._began_at = None
        self._parts_cleared = False
        self.sent_at = read_clock_with_suspend()
        self._sign_at = self.sent_at
        self._is_settled = False
        self._guard.note_sent(self.suspects)

    def note_not_run(self) -> None:
        """Note that the last target did not run the request."""
        if self._target is not None and self._is_settled:
            # Its silence was noted before it answered.
            self._guard.note_survived(self.suspects, self._target)
        self._is_settled = True
        self._target = None

    def note_written(self) -> None:
        """Note that the last target sent a piece of its answer."""
        now = read_clock_with_suspend()
        self._sign_at = now
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at >= WRITING_SECONDS and not self._parts_cleared:
            self._parts_cleared = True
            self._guard.note_answered(self._parts)

    def note_answered(self, *, success: bool, framed: bool) -> None:
        """Note that the answer of a target arrived whole.

        :param success: false for an error, which tells nothing about what
            the target writes on.
        :param framed: false if the answer ended with its connection, as it
            also does when the target ends.
        """
        self._is_settled = True
        answered = self.suspects if success else self._list_open(parts=False)
        target = self._target
        if framed or target is None:
            self._guard.note_answered(answered)
        else:
            self._guard.note_closed(
                self._list_open(parts=success),
                self._describe_run(target, RunEnd.CLOSED),
            )

    def note_lost(self, cause: LossCause) -> None:
        """Note that the answer of the last target was lost."""
        self._is_settled = True
        target = self._target
        end = ENDS.get(cause)
        if target is None or end is None:
            return
        self._guard.note_lost(
            self._list_open(parts=True), self._describe_run(target, end)
        )

    def note_abandoned(self) -> None:
        """Note that nobody waits for the answer of the last target any more.

        A caller also leaves a target that is only slow, so that this counts
        against prompt parts alone: they count silence only where the target
        is known to have ended.
        """
        target = self._target
        silence = read_clock_with_suspend() - self._sign_at
        if target is None or self._is_settled or self._parts_cleared:
            return
        if silence >= ABANDONED_SECONDS:
            self._is_settled = True
            run = self._describe_run(target, RunEnd.SILENT)
            self._guard.note_lost(self._parts, run)

    def _list_open(self, *, parts: bool) -> Sequence[Suspect]:
        """List the suspects about which the last target's end may tell.

        :param parts: false for the request alone.
        """
        if parts and not self._parts_cleared:
            return self.suspects
        return [
            each for each in self.suspects if each.kind is SuspectKind.REQUEST
        ]

    def _describe_run(self, target: Target, end: RunEnd) -> LostRun:
        now = read_clock_with_suspend()
        return LostRun(
            target=target.name,
            born=target.born,
            sent_at=self.sent_at,
            lost_at=now,
            end=end,
            ended_at=now,
        )

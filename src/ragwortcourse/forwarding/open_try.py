"""A try at a target that has begun to answer."""

import dataclasses
from collections.abc import Callable

from ragwortcourse.forwarding.exchange import OpenAnswer
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_load import TargetLoad


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenTry:
    """Try whose answer is being read.

    :param began_at: monotonic seconds at which the request was sent.
    :param note_begun: called when the first part of the body has arrived, and
        at the end.
    :param tokens: with which the request was counted at the target.
    :param started: true once a part of the body has arrived.
    """

    target: Target
    load: TargetLoad
    answer: OpenAnswer
    began_at: float
    note_begun: Callable[[], None]
    tokens: float = 0
    started: bool = False

    def note_piece(self, now: float) -> None:
        """Note that a part of the body has arrived."""
        self.load.note_sign(now)
        if not self.started:
            self.started = True
            self.load.count_answer_begun()
            self.note_begun()

    def close(self) -> None:
        """End the try, which cancels the request at the target."""
        self.answer.close()
        self.note_begun()
        if not self.started:
            self.load.count_answer_begun()
        self.load.count_ended(self.tokens)

"""A try at a target that has begun to answer."""

import dataclasses

from ragwortcourse.forwarding.exchange import OpenAnswer
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_load import TargetLoad


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenTry:
    """Try whose answer is being read.

    :param began_at: monotonic seconds at which the request was sent.
    :param tokens: with which the request was counted at the target.
    :param started: true once a part of the body has arrived.
    """

    target: Target
    load: TargetLoad
    answer: OpenAnswer
    began_at: float
    tokens: float = 0
    started: bool = False

    def note_piece(self, now: float) -> None:
        """Note that a part of the body has arrived."""
        self.load.note_sign(now)
        if not self.started:
            self.started = True
            self.load.count_answer_begun()

    def close(self) -> None:
        """End the try, which cancels the request at the target."""
        self.answer.close()
        if not self.started:
            self.load.count_answer_begun()
        self.load.count_ended(self.tokens)

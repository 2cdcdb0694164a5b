"""A try that has an answer to be read."""

import dataclasses

from ragwortcourse.forwarding.exchange import OpenAnswer
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_load import TargetLoad


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenTry:
    """One target that answers.

    :param began_at: monotonic seconds.
    :param started: true once the answer has brought something.
    """

    target: Target
    load: TargetLoad
    answer: OpenAnswer
    began_at: float
    started: bool = False

    def note_piece(self, now: float) -> None:
        """Note that the answer has brought something."""
        self.load.note_sign(now)
        if not self.started:
            self.started = True
            self.load.count_answer_begun()

    def close(self) -> None:
        """End it; the target stops if it is still at work."""
        self.answer.close()
        if not self.started:
            self.load.count_answer_begun()
        self.load.count_ended()

"""Answer of a simulated engine."""

from multidict import CIMultiDict

from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.exchange import OpenAnswer


class ContendedAnswer(OpenAnswer):
    """Head of an answer.

    :param seconds_left: from the first event to the end.
    """

    def __init__(self, status: int, seconds_left: float) -> None:
        self.seconds_left = seconds_left
        self.head = AnswerHead(
            status=status,
            ran=status == 200,
            genuine=True,
            load=None,
            cold_seconds=None,
            version=None,
            headers=CIMultiDict(),
        )

    def close(self) -> None:
        """Do nothing."""

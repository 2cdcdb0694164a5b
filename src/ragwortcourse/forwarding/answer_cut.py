"""Error of an answer whose body can't be used."""

from ragwortcourse.forwarding.loss_cause import LossCause


class AnswerCutError(Exception):
    """The body of an answer ended early, or is no valid answer.

    :param cause: what went wrong.
    """

    def __init__(
        self, detail: str, *, cause: LossCause = LossCause.CUT
    ) -> None:
        super().__init__(detail)
        self.cause = cause

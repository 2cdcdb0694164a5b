"""Results of one attempt: an answer that has started, or a failure."""

import dataclasses

from ragwortcourse.messages.attempt import AttemptAnswer
from ragwortcourse.messages.outcome import Completed, NotRun, Unknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """An answer whose first chunk has arrived.

    :param first: first chunk of the body; none if the body is empty.
    """

    answer: AttemptAnswer
    first: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """An attempt without an answer.

    :param outcome: outcome of the work in this attempt.
    :param is_refusal: true if the agent's admission gate refused the attempt.
    :param is_lost: true if the attempt was sent and its answer was lost.
    :param status: HTTP status of the agent's refusal.
    :param suspect: true if the target crashed while it ran the attempt.
    :param was_outdated: true if the refusal shows that the target serves
        other versions than its status listed when it was chosen. The target's
        record is updated, so the target may be tried again.
    """

    outcome: NotRun | Unknown | Completed
    is_refusal: bool = False
    is_lost: bool = False
    status: int | None = None
    suspect: bool = False
    was_outdated: bool = False

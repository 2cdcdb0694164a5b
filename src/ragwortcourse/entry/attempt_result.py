"""What became of one attempt, as the next step needs it."""

import dataclasses

from ragwortcourse.messages.attempt import AttemptAnswer
from ragwortcourse.messages.outcome import Completed, NotRun, Unknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """The target answers; its first chunk is here.

    :param first: first chunk of the body; none where the body is empty.
    """

    answer: AttemptAnswer
    first: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """No answer from this attempt.

    :param outcome: what became of the work by this attempt.
    :param is_refusal: true where the gate turned it down.
    :param is_lost: true where the attempt was sent and its answer lost.
    :param status: HTTP status of the gate's refusal.
    :param suspect: true where the target died while it ran the attempt.
    :param was_outdated: true where the target serves other versions than
        was believed; it can be asked again.
    """

    outcome: NotRun | Unknown | Completed
    is_refusal: bool = False
    is_lost: bool = False
    status: int | None = None
    suspect: bool = False
    was_outdated: bool = False

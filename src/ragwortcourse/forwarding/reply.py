"""What a caller is told."""

import dataclasses
import enum

from ragwortcourse.forwarding.answer_head import AnswerHead


class Reason(enum.StrEnum):
    """Why a request has no answer of a target."""

    NOT_READY = 'no desired state known yet'
    STALE = 'desired state not confirmed'
    STOPPING = 'stopping'
    NO_ROUTE = 'no route'
    UNKNOWN_KEY = 'unknown key'
    NO_TARGET = 'no usable target'
    OVERLOADED = 'no place in time'
    NOT_RUN = 'targets did not run it'
    FAILED = 'answer lost or spoilt'
    TIMED_OUT = 'time limit reached'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """An answer of a target with its whole body."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The system's own answer.

    :param status: 429 and 503 promise that the request has not run and
        never will.
    :param retry_after: seconds; none where coming back does not help.
    """

    status: int
    reason: Reason
    retry_after: float | None = None


Reply = WholeAnswer | Refusal

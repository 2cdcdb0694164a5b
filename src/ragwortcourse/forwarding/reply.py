"""What a caller is told."""

import dataclasses
import enum
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

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


# All others promise that the request has not run and never will.
STATUSES: Final = {
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """An answer of a target with its whole body."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The system's own answer.

    :param retry_after: seconds; none where coming back does not help.
    :param inputs: what decided it, for the log.
    """

    reason: Reason
    retry_after: float | None = None
    inputs: Mapping[str, object] = dataclasses.field(default_factory=dict)

    @property
    def status(self) -> HTTPStatus:
        """Status that the caller gets."""
        return STATUSES.get(self.reason, HTTPStatus.SERVICE_UNAVAILABLE)


Reply = WholeAnswer | Refusal

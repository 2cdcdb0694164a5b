"""Replies to callers: whole answers of targets, and refusals."""

import dataclasses
import enum
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from ragwortcourse.forwarding.answer_head import AnswerHead


class Reason(enum.StrEnum):
    """Reason why a request gets no answer from a target."""

    NOT_READY = 'no desired state known yet'
    STALE = 'desired state not confirmed'
    STOPPING = 'stopping'
    NO_ROUTE = 'no route'
    UNKNOWN_KEY = 'unknown key'
    NO_TARGET = 'no usable target'
    OVERLOADED = 'no place in time'
    CRASHES_TARGETS = 'crashes targets'
    NOT_RUN = 'targets did not run it'
    FAILED = 'answer lost or spoilt'
    TIMED_OUT = 'time limit reached'


# All other reasons are answered with 503, which promises that the request has
# not run and never will.
STATUSES: Final = {
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """Answer of a target with its whole body."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Reply of the entry daemon itself instead of a target's answer.

    :param retry_after: seconds; none if a retry does not help.
    :param inputs: values behind the refusal, for the log.
    """

    reason: Reason
    retry_after: float | None = None
    inputs: Mapping[str, object] = dataclasses.field(default_factory=dict)

    @property
    def status(self) -> HTTPStatus:
        """HTTP status of the reply."""
        return STATUSES.get(self.reason, HTTPStatus.SERVICE_UNAVAILABLE)


Reply = WholeAnswer | Refusal

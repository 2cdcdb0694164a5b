"""JSON body of error answers made by the system."""

import msgspec

from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.outcome import OutcomeKind


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """One error.

    :param code: stable code, for programs.
    :param message: text for people.
    :param outcome: whether the work ran.
    :param request: request id, accepted by ``ragwortcourse explain``.
    :param retry_after: seconds to wait; none if a retry is not expected to
        help.
    """

    code: str
    message: str
    outcome: OutcomeKind
    request: RequestId | None = None
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Error envelope in the form that model API clients expect."""

    error: ErrorDetail

"""The JSON body of every error that the system itself answers with."""

import msgspec

from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.outcome import OutcomeKind


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """One error.

    :param code: stable, for programs.
    :param message: for people.
    :param outcome: whether the work ran.
    :param request: id to give to ``ragwortcourse explain``.
    :param retry_after: seconds, where coming back can help.
    """

    code: str
    message: str
    outcome: OutcomeKind
    request: RequestId | None = None
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Envelope in the form that clients of model APIs expect."""

    error: ErrorDetail

"""Callers' requests and their answers, independent of HTTP."""

import dataclasses
from collections.abc import AsyncIterator, Mapping

from ragwortcourse.identifiers import (
    DeploymentName,
    IdempotencyKey,
    RequestId,
    VersionName,
)
from ragwortcourse.messages.error_body import ErrorDetail


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    :param api_key: key as sent by the caller; none if absent.
    :param deployment: service named in the path; none for model calls,
        whose body names model and adapter as ``model`` or
        ``model:adapter``.
    :param path: request path at the target.
    :param time_left: seconds until the caller's deadline.
    :param idempotent: false if the caller marks the request as not
        idempotent.
    """

    request: RequestId
    api_key: str | None
    deployment: DeploymentName | None
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    time_left: float
    priority: int = 0
    idempotency_key: IdempotencyKey | None = None
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswer:
    """Answer for the caller, with a body that is still being received.

    :param body: raises :class:`AnswerBrokenError` if the body is cut short.
    :param version: model version that produced the answer.
    """

    request: RequestId
    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    version: VersionName | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallError:
    """Error answer made by the system, not by a target."""

    status: int
    error: ErrorDetail


CallOutcome = CallAnswer | CallError

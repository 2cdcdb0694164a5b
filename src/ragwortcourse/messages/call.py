"""A caller's request and what the caller gets, without the HTTP around it."""

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

    :param api_key: as the caller sent it; none where it sent none.
    :param deployment: service named in the path; none for model calls,
        whose body names model and adapter as ``model`` or
        ``model:adapter``.
    :param path: path at the target.
    :param time_left: seconds until the caller's deadline.
    :param idempotent: false where the caller marks it as not repeatable.
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
    """An answer on its way to the caller.

    :param body: raises :class:`AnswerBrokenError` where it can't be ended.
    """

    request: RequestId
    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    version: VersionName | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallError:
    """An error that the system itself answers with."""

    status: int
    error: ErrorDetail


CallOutcome = CallAnswer | CallError

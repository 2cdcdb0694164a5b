"""Attempts that entry daemons send to agents, and their outcomes."""

import dataclasses
from collections.abc import AsyncIterator, Mapping
from typing import Final

from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    ClientAccountName,
    DeploymentName,
    Generation,
    ModelName,
    RequestId,
    VersionName,
)
from ragwortcourse.messages.outcome import NotRun, Unknown
from ragwortcourse.messages.target_status import ServedVersion

# Error code of refusals by a target that no longer accepts work.
LEAVING: Final = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One dispatch of a request to one target.

    :param weight: fair-share weight of the client account.
    :param generation: configuration generation in force at the sender.
    :param sender: ``ip:port`` that serves the sender's configuration.
    :param idempotent: false if the work may run at most once.
    :param model: requested model; none for plain services.
    :param version: model version that must produce the answer.
    :param priority: higher values are served first.
    :param time_left: seconds until the caller's deadline.
    :param fingerprint: digest of client account, method, path and body, which
        identifies a request that crashes targets.
    :param suspect: true if a target crashed while it ran a request with
        this fingerprint; a gate runs one suspect at a time.
    """

    attempt: AttemptId
    request: RequestId
    account: ClientAccountName
    weight: float
    deployment: DeploymentName
    generation: Generation
    sender: str
    idempotent: bool
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    time_left: float
    fingerprint: str
    model: ModelName | None = None
    version: VersionName | None = None
    adapter: AdapterName | None = None
    priority: int = 0
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptAnswer:
    """Answer of the target, with a body that is still being received.

    :param spare: free permits at the gate.
    :param body: raises :class:`AnswerBrokenError` if the body is cut short.
    :param generation: configuration generation in force at the agent.
    """

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    spare: int
    generation: Generation
    version: VersionName | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRefused:
    """Attempt without an answer of the target, with its known outcome.

    :param status: HTTP status for the refusal.
    :param outcome: whether the work ran.
    :param spare: free permits at the gate.
    :param suspect: true if the target crashed while it ran the attempt.
    :param served: versions that the target serves, if it refused because of
        the requested version.
    """

    status: int
    outcome: NotRun | Unknown
    spare: int
    generation: Generation
    suspect: bool = False
    served: tuple[ServedVersion, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptUnreached:
    """Attempt that was not sent: no connection to the agent."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptLost:
    """Attempt that was sent without getting an answer.

    Only the agent can tell whether the attempt ran.
    """

    detail: str


class AnswerBrokenError(Exception):
    """Raised when the body of an answer is cut short."""


AttemptOutcome = AttemptAnswer | AttemptRefused | AttemptUnreached | AttemptLost

"""One attempt at a request and its answer, entry daemon to agent."""

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

# Code of a target's refusals once it takes no work any more.
LEAVING: Final = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One dispatch of a request to one target.

    :param weight: share of the client account.
    :param generation: configuration in force at the sender.
    :param sender: ``ip:port`` at which the sender's documents can be had.
    :param idempotent: false where the work may run at most once.
    :param model: model asked for; none for plain services.
    :param version: model version that must make the answer.
    :param priority: higher goes first.
    :param time_left: seconds until the caller's deadline.
    :param fingerprint: digest of client account and body, by which a
        request that crashes targets is known again.
    :param suspect: true where a target died while the fingerprint was
        under way; a gate runs one suspect at a time.
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
    """The target's answer, whose body is still coming.

    :param spare: permits left at the gate.
    :param body: raises :class:`AnswerBrokenError` where it ends short.
    """

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    spare: int
    generation: Generation
    version: VersionName | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRefused:
    """No answer comes from the target; the outcome says if it ran.

    :param status: HTTP status that fits the refusal.
    :param suspect: true where the target died while it ran the attempt.
    :param served: what the target serves, where that is why it refused.
    """

    status: int
    outcome: NotRun | Unknown
    spare: int
    generation: Generation
    suspect: bool = False
    served: tuple[ServedVersion, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptUnreached:
    """No connection to the agent: the attempt was never sent."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptLost:
    """The attempt was sent and no answer came; ask the agent."""

    detail: str


class AnswerBrokenError(Exception):
    """The body of an answer ended before its end."""


AttemptOutcome = AttemptAnswer | AttemptRefused | AttemptUnreached | AttemptLost

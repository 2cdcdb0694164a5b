"""Port to a target: a model engine or a plain service."""

import dataclasses
import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    FencingNumber,
    ModelName,
    Sha256Hex,
    VersionName,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest:
    """One request to the target.

    :param attempt: identifier that the answer must repeat.
    :param version: model version that must produce the answer; None for
        plain services.
    """

    attempt: AttemptId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    version: VersionName | None = None
    adapter: AdapterName | None = None
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswer:
    """An answer whose body is still arriving.

    :param attempt: attempt that the engine reports to answer.
    :param version: model version that the engine reports to have used.
    :param body: raises :class:`EngineBrokenError` if the answer is truncated;
        a cancelled read can be repeated without loss of bytes.
    :param instance: engine instance that answers; None if not reported.
    """

    status: int
    headers: Mapping[str, str]
    attempt: AttemptId | None
    version: VersionName | None
    body: AsyncIterator[bytes]
    instance: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineUnreached:
    """The request never reached the target."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswerLost:
    """No answer arrived; the request may have reached the target."""

    detail: str


class EngineBrokenError(Exception):
    """The body of an answer is truncated."""


StartOutcome = EngineAnswer | EngineUnreached | EngineAnswerLost


class OrderAction(enum.StrEnum):
    """Action that an order requests from an engine."""

    LOAD = 'load'
    ACTIVATE = 'activate'
    UNLOAD = 'unload'
    ROLE = 'role'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """One order with a fencing number, so that stale orders can be refused.

    :param chunks: number of chunks of the version to load.
    :param sha256: digest of the concatenated chunks.
    """

    fencing: FencingNumber
    action: OrderAction
    model: ModelName
    version: VersionName
    adapter: AdapterName | None = None
    role: str | None = None
    chunks: int = 0
    sha256: Sha256Hex | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderConfirmed:
    """The engine followed the order."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """The order was not followed.

    :param detail: reason.
    :param stale: whether a newer fencing number was seen.
    """

    detail: str
    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderUnknown:
    """The answer was lost; only the engine state shows the outcome."""

    detail: str


OrderOutcome = OrderConfirmed | OrderRefused | OrderUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineVersion:
    """A model version in an engine.

    :param complete: whether the engine has stored and verified all bytes.
    :param active: whether the engine answers with the version.
    """

    model: ModelName
    version: VersionName
    adapters: tuple[AdapterName, ...]
    complete: bool
    active: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """Report of an engine, which may lag behind its actual state.

    :param instance: identifier that changes when the engine restarts.
    :param running: number of running requests.
    :param bearable: number of concurrent requests that the engine estimates
        it can handle; None if the target does not report load.
    :param age: seconds since the report was made.
    :param role: None if the engine has no role or does not report one.
    """

    instance: str
    running: int
    bearable: int | None
    age: float
    versions: tuple[EngineVersion, ...] = ()
    role: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSilent:
    """The target did not answer.

    :param refused: true if nothing listens at its address.
    """

    detail: str
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """Operations of a target.

    :param start: starts a request and returns its answer.
    :param resume: resumes a stream after a number of body bytes; returns
        :class:`EngineAnswerLost` if the engine does not confirm the offset.
    :param cancel: cancels a request; returns whether the engine confirms.
    :param describe: reads state, versions and load.
    :param store_chunk: sends the chunk ``(model, version, adapter, index)``;
        confirmed once the engine holds it.
    :param order: loads, activates or unloads a version, or changes the role.
    """

    start: Callable[[EngineRequest], Awaitable[StartOutcome]]
    resume: Callable[[EngineRequest, int], Awaitable[StartOutcome]]
    cancel: Callable[[AttemptId], Awaitable[bool]]
    describe: Callable[[], Awaitable[EngineState | EngineSilent]]
    store_chunk: Callable[
        [ModelName, VersionName, AdapterName | None, int, bytes],
        Awaitable[OrderOutcome],
    ]
    order: Callable[[EngineOrder], Awaitable[OrderOutcome]]

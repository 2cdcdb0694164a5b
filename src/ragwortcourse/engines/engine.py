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
    """One piece of work for the target.

    :param attempt: sent along; the answer must carry it back.
    :param version: model version that must make the answer; none for
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
    """An answer whose body is still coming.

    :param attempt: attempt the engine says it answers.
    :param version: model version the engine says made it.
    :param instance: instance of the engine that gives it; none where the
        engine does not say.
    :param body: raises :class:`EngineBrokenError` where the answer ends
        short; a read that is cancelled can be begun again, no byte lost.
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
    """The request may have reached the target; no answer came."""

    detail: str


class EngineBrokenError(Exception):
    """The body of an answer ended before its end."""


StartOutcome = EngineAnswer | EngineUnreached | EngineAnswerLost


class OrderAction(enum.StrEnum):
    """What an order tells an engine to do."""

    LOAD = 'load'
    ACTIVATE = 'activate'
    UNLOAD = 'unload'
    ROLE = 'role'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """One order, numbered so that a stale one can be refused.

    :param chunks: chunks that a version to load consists of.
    :param sha256: digest of all those chunks in order.
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
    """The engine did what it was told."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """The engine did not do it, and says why.

    :param stale: true where a newer fencing number was seen.
    """

    detail: str
    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderUnknown:
    """The answer was lost; read the engine's state to settle it."""

    detail: str


OrderOutcome = OrderConfirmed | OrderRefused | OrderUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineVersion:
    """A version inside an engine.

    :param complete: every byte was stored and checked by the engine.
    :param active: the engine answers with it.
    """

    model: ModelName
    version: VersionName
    adapters: tuple[AdapterName, ...]
    complete: bool
    active: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine says of itself, with a lag.

    :param instance: changes whenever the engine starts anew.
    :param running: requests at once when the report was made.
    :param bearable: requests at once it reckons it bears; none where the
        target does not report load.
    :param age: seconds since the report was made.
    :param role: none where the engine has none, or does not report it.
    """

    instance: str
    running: int
    bearable: int | None
    age: float
    versions: tuple[EngineVersion, ...] = ()
    role: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSilent:
    """The target did not answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """What can be asked of a target.

    :param start: run a request and relay its answer.
    :param resume: go on with a stream after so many body bytes; lost
        where the engine does not confirm that it does just that.
    :param cancel: stop a request; true where the engine confirms.
    :param describe: state, versions and load.
    :param store_chunk: hand one chunk of ``(model, version, adapter,
        index)`` over; confirmed once the engine holds it.
    :param order: load, activate, unload a version or change the role.
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

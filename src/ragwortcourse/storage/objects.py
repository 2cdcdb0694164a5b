"""Port to the platform's object store."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import NewType

ObjectName = NewType('ObjectName', str)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectRead:
    """The read was answered; no content means there is no such object."""

    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectFailed:
    """The object store did not answer; a write may have taken effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectWritten:
    """The object is stored whole."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectStore:
    """Immutable objects by name; writing one again is harmless."""

    read: Callable[[ObjectName], Awaitable[ObjectRead | ObjectFailed]]
    write: Callable[
        [ObjectName, bytes],
        Awaitable[ObjectWritten | ObjectFailed],
    ]

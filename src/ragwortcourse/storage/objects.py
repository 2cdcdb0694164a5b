"""Port to the platform's object store."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import NewType

ObjectName = NewType('ObjectName', str)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectRead:
    """Answer to a read; the content is None if the object does not exist."""

    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectFailed:
    """The request failed; a write may have taken effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectWritten:
    """The complete object is stored."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectStore:
    """Store of immutable objects by name; repeating a write is harmless."""

    read: Callable[[ObjectName], Awaitable[ObjectRead | ObjectFailed]]
    write: Callable[
        [ObjectName, bytes],
        Awaitable[ObjectWritten | ObjectFailed],
    ]

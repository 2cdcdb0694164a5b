"""Port to the platform's transactional table service."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import NewType

TableKey = NewType('TableKey', str)

# Expected version of a row that must not exist yet.
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row; each write increments its version."""

    key: TableKey
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConditionalWrite:
    """One write of a transaction.

    :param content: new content; None deletes the row.
    :param expected_version: version that the row must have;
        ``ABSENT_VERSION`` for a new row, None for any version.
    """

    key: TableKey
    content: bytes | None
    expected_version: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowRead:
    """Answer to a read; the row is None if the key is absent."""

    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """The read failed; the state of the row is unknown."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """All writes of the transaction took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConditionFailed:
    """Nothing took effect, because a condition failed.

    :param rows: current rows of the failed conditions; None if absent.
    :param keys: keys of the failed conditions.
    """

    rows: tuple[Row | None, ...]
    keys: tuple[TableKey, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotCommitted:
    """Nothing took effect, as the service refused or was unreachable."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitUnknown:
    """The answer was lost; the transaction may have taken effect."""

    detail: str


ReadOutcome = RowRead | ReadFailed
CommitOutcome = Committed | ConditionFailed | NotCommitted | CommitUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableService:
    """Operations of the table service.

    :param read: reads one row by key.
    :param commit: applies all conditional writes, or none if any condition
        fails.
    """

    read: Callable[[TableKey], Awaitable[ReadOutcome]]
    commit: Callable[
        [tuple[ConditionalWrite, ...]],
        Awaitable[CommitOutcome],
    ]

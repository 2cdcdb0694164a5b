"""Port to the platform's transactional table service."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import NewType

TableKey = NewType('TableKey', str)

# Expected version of a row that must not exist yet.
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row; its version grows by one with each write."""

    key: TableKey
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConditionalWrite:
    """One write of a transaction.

    :param expected_version: version the row must have, ``ABSENT_VERSION`` for a
        new row, none for any.
    :param content: new content; none deletes the row.
    """

    key: TableKey
    content: bytes | None
    expected_version: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowRead:
    """The read was answered; no row means the key is absent."""

    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """The table service did not answer the read."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """Every write of the transaction took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConditionFailed:
    """Nothing took effect, because these rows were not as expected."""

    rows: tuple[Row | None, ...]
    keys: tuple[TableKey, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotCommitted:
    """Nothing took effect: the service refused or was never reached."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitUnknown:
    """The answer was lost; the transaction may have taken effect."""

    detail: str


ReadOutcome = RowRead | ReadFailed
CommitOutcome = Committed | ConditionFailed | NotCommitted | CommitUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableService:
    """The two things the table service does.

    :param read: one row by key.
    :param commit: all writes or none, each under its condition.
    """

    read: Callable[[TableKey], Awaitable[ReadOutcome]]
    commit: Callable[
        [tuple[ConditionalWrite, ...]],
        Awaitable[CommitOutcome],
    ]

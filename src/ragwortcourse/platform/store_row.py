"""Rows of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRow:
    """One row as read or as changed.

    :param content: none for a row that was dropped.
    """

    key: str
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRows:
    """Rows as of one moment.

    :param revision: newest transaction that the answer takes in.
    :param age: seconds before the question at which they were the newest
        for sure; negative where they were so after it.
    :param rows_age: seconds for which the oldest of these rows may have been
        there, at the moment of the return.
    :param known_age: seconds since which nothing newer is missing, at the
        moment of the return.
    :param delay: seconds between the call and the question that was
        answered; others were asked meanwhile.
    """

    rows: tuple[StoreRow, ...]
    revision: int
    age: float = 0
    rows_age: float = 0
    known_age: float = 0
    delay: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryGone:
    """The store no longer knows the changes since the revision."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSilent:
    """The store did not answer, or refused.

    :param detail: what happened.
    :param is_reading: true where another daemon was asked that lives, but
        has no rows yet.
    """

    detail: str
    is_reading: bool = False

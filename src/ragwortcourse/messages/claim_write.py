"""Claim writes sent to the batching daemon of a failure domain."""

import enum

import msgspec


class ClaimWriteState(enum.StrEnum):
    """Outcome of a write, as in :mod:`ragwortcourse.storage.table`."""

    COMMITTED = 'committed'
    CONDITION_FAILED = 'condition_failed'
    NOT_COMMITTED = 'not_committed'
    UNKNOWN = 'unknown'


class ClaimWrite(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /claims``.

    :param key: row key.
    :param content: new content of the row.
    :param expected_version: version that the row must have.
    """

    key: str
    content: bytes
    expected_version: int


class ClaimWriteReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /claims``.

    :param detail: reason of a failure, for people.
    :param version: after a failed condition, version of the existing row;
        zero if there is no row.
    :param content: after a failed condition, content of the existing row.
    """

    state: ClaimWriteState
    detail: str = ''
    version: int = 0
    content: bytes = b''

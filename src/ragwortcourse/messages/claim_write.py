"""One claim handed to the daemon that collects them, and its answer."""

import enum

import msgspec


class ClaimWriteState(enum.StrEnum):
    """What became of the write; see the table service's port."""

    COMMITTED = 'committed'
    CONDITION_FAILED = 'condition_failed'
    NOT_COMMITTED = 'not_committed'
    UNKNOWN = 'unknown'


class ClaimWrite(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /claims``.

    :param expected_version: version that the row must have.
    """

    key: str
    content: bytes
    expected_version: int


class ClaimWriteReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /claims``.

    :param version: version of the row that is there instead; zero: none.
    :param content: content of that row.
    """

    state: ClaimWriteState
    detail: str = ''
    version: int = 0
    content: bytes = b''

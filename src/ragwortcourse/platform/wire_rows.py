"""Rows as the platform's store sends them."""

import base64
import binascii
import logging
from typing import Final

import msgspec

from ragwortcourse.bounded import ClockMilliseconds, Era, WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.nesting import trim_nesting
from ragwortcourse.platform.store_position import UNKNOWN_ERA
from ragwortcourse.platform.store_row import StoreRow
from ragwortcourse.unreadable import UnreadableError

# Levels of an answer down to the parts of its rows.
ROW_LEVELS: Final = 3
# Part of an odd row in the log.
ODD_BYTES: Final = 200

LOGGER: Final = logging.getLogger(__name__)


class WireRow(msgspec.Struct, kw_only=True):
    """A row as the store sends it.

    :param value: base64; absent for deleted rows.
    """

    key: str
    value: str = ''
    deleted: bool = False


class WireKey(msgspec.Struct, kw_only=True):
    """Key of a row whose other parts may be of any type."""

    key: str


class WireRows(msgspec.Struct, kw_only=True):
    """Answer of the store to a read.

    :param rows: each a ``WireRow``, decoded for itself.
    :param row_version: newest transaction, not the version of a row.
    :param now_ms: the store's monotonic clock, milliseconds; None if the
        store does not send it.
    :param era: era of the store, from the header of the answer.
    """

    rows: tuple[msgspec.Raw, ...]
    row_version: WholeNumber
    has_more: bool = False
    now_ms: ClockMilliseconds | None = None
    era: Era = UNKNOWN_ERA


def decode_answer(content: bytes) -> WireRows:
    """Decode an answer, without what is nested too deeply in its rows.

    :raises UnreadableError: the content is no answer with rows.
    """
    try:
        return decode_json(content, WireRows)
    except UnreadableError:
        return decode_json(trim_nesting(content, ROW_LEVELS), WireRows)


def decode_rows(answer: WireRows) -> tuple[StoreRow, ...]:
    """Decode the rows of an answer that have a key."""
    rows = (_decode_row(bytes(row)) for row in answer.rows)
    return tuple(row for row in rows if row is not None)


def _decode_row(content: bytes) -> StoreRow | None:
    """Decode a row; one that is odd beside its key has empty content.

    :return: none for a row without a key, which is logged.
    """
    try:
        return _read_row(decode_json(content, WireRow))
    except UnreadableError as error:
        LOGGER.warning(
            'odd row of the store',
            extra={'content': repr(content[:ODD_BYTES]), 'detail': str(error)},
        )
    try:
        # The readers log empty content with the row's key.
        return StoreRow(key=decode_json(content, WireKey).key, content=b'')
    except UnreadableError as error:
        LOGGER.warning(
            'row of the store without a key ignored',
            extra={'detail': str(error)},
        )
        return None


def _read_row(row: WireRow) -> StoreRow:
    if row.deleted:
        return StoreRow(key=row.key, content=None)
    try:
        content = base64.b64decode(row.value, validate=True)
    except binascii.Error:
        # The readers log content that they can't decode, with the row's key.
        content = row.value.encode()
    return StoreRow(key=row.key, content=content)

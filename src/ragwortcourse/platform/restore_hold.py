"""Hold on rows that a restored store lacks.

Load pattern: the store comes back from a copy some seconds old, while a
failure domain is withdrawn and a desired state has just been replaced. Both
are missing until the operators write them again, and no daemon may act on
their absence.
"""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

import msgspec

from ragwortcourse.bounded import WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.fleet_state import read_boot_clock
from ragwortcourse.platform.store_row import StoreRow, StoreRows
from ragwortcourse.unreadable import UnreadableError

LOGGER: Final = logging.getLogger(__name__)


class VersionedContent(msgspec.Struct, kw_only=True):
    """Part of the content of rows whose version only rises."""

    version: WholeNumber


class RestoreHold:
    """Rows that are kept although the store lacks them since a restore.

    Rows with a version in their content are kept for good, as operators
    never lower it. Other rows are kept until the operators have had time to
    write them again; if they did not, the rows are taken for deleted.

    :param seconds: time from the first answer of a restored store until a row
        that is still missing counts as deleted. The fleet's bounds begin to
        apply again after this time, so operators must have written by then.
    """

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._ends_at: float = 0
        self._held: dict[str, StoreRow] = {}

    def merge_restored(
        self, answer: StoreRows, before: Iterable[StoreRow]
    ) -> StoreRows:
        """Add the rows that a restored store lost to a read of all rows.

        :param before: all rows of the earlier era.
        """
        self._ends_at = read_boot_clock() + self._seconds
        known = {row.key: row for row in before}
        kept = [
            _find_newer(row, known.pop(row.key, None)) for row in answer.rows
        ]
        lost = [
            row if _has_version(row) else dataclasses.replace(row, held=True)
            for row in known.values()
        ]
        merged, read = [*kept, *lost], set(answer.rows)
        LOGGER.warning(
            'rows that the restored store lacks are kept',
            extra={
                'rows': sorted(row.key for row in merged if row not in read),
                'seconds': self._seconds,
                'era': answer.era,
                'revision': answer.revision,
            },
        )
        return self._note_held(answer, merged)

    def merge_held(self, answer: StoreRows) -> StoreRows:
        """Add the rows that are held to another read of all rows."""
        found = {row.key for row in answer.rows}
        missing = [row for key, row in self._held.items() if key not in found]
        if not self._held and any(row.held for row in answer.rows):
            # Another daemon saw the restore, this one started after it.
            self._ends_at = read_boot_clock() + self._seconds
        return self._note_held(answer, [*answer.rows, *missing])

    def apply_changes(self, answer: StoreRows) -> StoreRows:
        """Let go of rows that were written again or are due.

        :return: the changes, with the deletion of rows that are due.
        """
        written = [
            row.key for row in answer.rows if self._held.pop(row.key, None)
        ]
        if written:
            LOGGER.info(
                'rows lost in a restore of the store were written again',
                extra={'rows': written, 'left': sorted(self._held)},
            )
        if not self._held or read_boot_clock() < self._ends_at:
            return answer
        LOGGER.warning(
            'rows lost in a restore of the store were not written again; '
            'they count as deleted',
            extra={'rows': sorted(self._held)},
        )
        deleted = [StoreRow(key=key, content=None) for key in self._held]
        self._held.clear()
        return dataclasses.replace(answer, rows=(*answer.rows, *deleted))

    def note_silent(self) -> None:
        """Extend the hold: operators can't write while the store is away."""
        self._ends_at = read_boot_clock() + self._seconds

    def _note_held(self, answer: StoreRows, rows: list[StoreRow]) -> StoreRows:
        self._held = {row.key: row for row in rows if row.held}
        return dataclasses.replace(answer, rows=tuple(rows))


def _find_newer(read: StoreRow, before: StoreRow | None) -> StoreRow:
    """Return the row of the higher version; the read one if it has none."""
    if before is None or before.held:
        return read
    version, version_before = _read_version(read), _read_version(before)
    if version is None or version_before is None:
        return read
    return before if version_before > version else read


def _has_version(row: StoreRow) -> bool:
    return _read_version(row) is not None


def _read_version(row: StoreRow) -> int | None:
    try:
        return decode_json(row.content or b'', VersionedContent).version
    except UnreadableError:
        # The handler of the rows logs content that it can't decode.
        return None

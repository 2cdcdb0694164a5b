"""Commit of a new generation by compare-and-set of the head row."""

import dataclasses
from collections.abc import Container
from typing import Final

import msgspec

from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.head import (
    HEAD_KEY,
    ChangeRecord,
    build_change_key,
)
from ragwortcourse.configuration.snapshot import ConfigurationSnapshot
from ragwortcourse.configuration.store import (
    ConfigurationStore,
    HeadRow,
    StoreFailed,
    write_snapshot,
)
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    ReadFailed,
    Row,
)
from ragwortcourse.unreadable import UnreadableError

SETTLE_TRIES: Final = 3
ABANDONED_GENERATION: Final = Generation(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """Outcome: the change is part of a committed generation.

    :param generation: generation that the change made.
    :param snapshot: snapshot of that generation; none where an earlier
        sending of the same change committed it.
    """

    generation: Generation
    snapshot: ConfigurationSnapshot | None

    @property
    def document(self) -> ConfigurationDocument | None:
        """Document of the snapshot; none where there is no snapshot."""
        return self.snapshot.document if self.snapshot else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overtaken:
    """Outcome: the head changed since it was read; nothing took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotAccepted:
    """Outcome: the change has not taken effect and cannot do so later.

    :param detail: reason for the operator.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptanceUnknown:
    """Outcome: the change may or may not have taken effect.

    Sending the change again under the same id gives its final outcome.

    :param detail: reason for the operator.
    """

    detail: str


AcceptanceOutcome = Accepted | Overtaken | NotAccepted | AcceptanceUnknown


async def commit_generation(
    store: ConfigurationStore,
    base: HeadRow,
    snapshot: ConfigurationSnapshot,
    stored: Container[Sha256Hex],
) -> AcceptanceOutcome:
    """Make a generation the head, unless the head changed since its read.

    The row of the change is written in the same transaction. After a lost
    answer, that row tells the outcome, however many generations follow.

    :param base: head row that the generation was built on.
    :param snapshot: snapshot of the new generation.
    :param stored: digests of parts that the object store already has.
    :return: the outcome; unknown only if the table service stops answering.
    """
    document = snapshot.document
    head = await write_snapshot(store, snapshot, stored)
    if isinstance(head, StoreFailed):
        return NotAccepted(detail=head.detail)
    record = ChangeRecord(generation=document.generation)
    outcome = await store.table.commit(
        (
            ConditionalWrite(
                key=HEAD_KEY,
                content=msgspec.json.encode(head),
                expected_version=base.row_version,
            ),
            _build_record_write(document.change, record),
        )
    )
    if isinstance(outcome, Committed):
        return Accepted(generation=document.generation, snapshot=snapshot)
    if isinstance(outcome, ConditionFailed):
        return _resolve_condition(document, outcome)
    if isinstance(outcome, CommitUnknown):
        return await _settle_change(store, snapshot)
    return NotAccepted(detail=outcome.detail)


async def read_change_record(
    store: ConfigurationStore, change: ChangeId
) -> ChangeRecord | StoreFailed | None:
    """Read the row that records the outcome of a change.

    :return: none where the row is absent or cannot be decoded.
    """
    outcome = await store.table.read(build_change_key(change))
    if isinstance(outcome, ReadFailed):
        return StoreFailed(detail=outcome.detail)
    return _decode_record(outcome.row)


def convert_change_record(
    change: ChangeId, record: ChangeRecord
) -> AcceptanceOutcome:
    """Convert the row of a change to the outcome of the change."""
    if record.generation == ABANDONED_GENERATION:
        return NotAccepted(
            detail=f'change {change} was given up; send it under a new id'
        )
    return Accepted(generation=record.generation, snapshot=None)


async def _settle_change(
    store: ConfigurationStore, snapshot: ConfigurationSnapshot
) -> AcceptanceOutcome:
    """Find the outcome of a commit whose answer was lost.

    Try to write a record that marks the change as abandoned. If the write
    succeeds, the lost commit can no longer succeed, as it requires that the
    row be absent. If the row exists, the row tells the outcome.
    """
    change = snapshot.document.change
    abandonment = _build_record_write(
        change, ChangeRecord(generation=ABANDONED_GENERATION)
    )
    for _ in range(SETTLE_TRIES):
        outcome = await store.table.commit((abandonment,))
        if isinstance(outcome, Committed):
            return NotAccepted(detail='the table service lost the change')
        if isinstance(outcome, ConditionFailed):
            return _resolve_settled(snapshot, outcome)
    return AcceptanceUnknown(detail='the table service does not answer')


def _resolve_settled(
    snapshot: ConfigurationSnapshot, outcome: ConditionFailed
) -> AcceptanceOutcome:
    record = _decode_record(outcome.rows[0])
    if record is None or record.generation == ABANDONED_GENERATION:
        return NotAccepted(detail='the table service lost the change')
    if record.generation == snapshot.document.generation:
        return Accepted(generation=record.generation, snapshot=snapshot)
    return Accepted(generation=record.generation, snapshot=None)


def _resolve_condition(
    document: ConfigurationDocument, outcome: ConditionFailed
) -> AcceptanceOutcome:
    for key, row in zip(outcome.keys, outcome.rows, strict=False):
        record = _decode_record(row)
        if key == build_change_key(document.change) and record is not None:
            return convert_change_record(document.change, record)
    return Overtaken()


def _build_record_write(
    change: ChangeId, record: ChangeRecord
) -> ConditionalWrite:
    return ConditionalWrite(
        key=build_change_key(change),
        content=msgspec.json.encode(record),
        expected_version=ABSENT_VERSION,
    )


def _decode_record(row: Row | None) -> ChangeRecord | None:
    if row is None:
        return None
    try:
        return decode_json(row.content, ChangeRecord)
    except UnreadableError:
        return None

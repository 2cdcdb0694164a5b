"""Acceptance of a generation by compare-and-set of the head."""

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

SETTLE_TRIES: Final = 3
ABANDONED_GENERATION: Final = Generation(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The change is in a generation.

    :param snapshot: none where an earlier sending of it was accepted.
    """

    generation: Generation
    snapshot: ConfigurationSnapshot | None

    @property
    def document(self) -> ConfigurationDocument | None:
        """The document, where this sending of it was accepted."""
        return self.snapshot.document if self.snapshot else None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overtaken:
    """Another generation went first; nothing took effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotAccepted:
    """Nothing took effect, nor will it."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptanceUnknown:
    """The change may have taken effect; sending it again settles it."""

    detail: str


AcceptanceOutcome = Accepted | Overtaken | NotAccepted | AcceptanceUnknown


async def commit_generation(
    store: ConfigurationStore,
    base: HeadRow,
    snapshot: ConfigurationSnapshot,
    stored: Container[Sha256Hex],
) -> AcceptanceOutcome:
    """Make a generation the head, if the head still is as it was read.

    The change's own row is written in the same transaction, so that a lost
    answer can be settled however many generations follow.

    :param base: the head that the generation was made from.
    :param snapshot: the next generation.
    :param stored: parts that the object store is known to have.
    """
    document = snapshot.document
    head = await write_snapshot(store, snapshot, stored)
    if isinstance(head, StoreFailed):
        return NotAccepted(detail=head.detail)
    mark = ChangeRecord(generation=document.generation)
    outcome = await store.table.commit(
        (
            ConditionalWrite(
                key=HEAD_KEY,
                content=msgspec.json.encode(head),
                expected_version=base.row_version,
            ),
            _build_record_write(document.change, mark),
        )
    )
    if isinstance(outcome, Committed):
        return Accepted(generation=document.generation, snapshot=snapshot)
    if isinstance(outcome, ConditionFailed):
        return _judge_condition(document, outcome)
    if isinstance(outcome, CommitUnknown):
        return await _settle_change(store, snapshot)
    return NotAccepted(detail=outcome.detail)


async def read_change_record(
    store: ConfigurationStore, change: ChangeId
) -> ChangeRecord | StoreFailed | None:
    """What became of a change; none where its row is absent."""
    outcome = await store.table.read(build_change_key(change))
    if isinstance(outcome, ReadFailed):
        return StoreFailed(detail=outcome.detail)
    return _decode_mark(outcome.row)


def convert_change_record(
    change: ChangeId, mark: ChangeRecord
) -> AcceptanceOutcome:
    """Outcome of a change whose row was found."""
    if mark.generation == ABANDONED_GENERATION:
        return NotAccepted(
            detail=f'change {change} was given up; send it under a new id'
        )
    return Accepted(generation=mark.generation, snapshot=None)


async def _settle_change(
    store: ConfigurationStore, snapshot: ConfigurationSnapshot
) -> AcceptanceOutcome:
    """Settle a lost answer: the row is there, or is barred from coming."""
    change = snapshot.document.change
    bar = _build_record_write(
        change, ChangeRecord(generation=ABANDONED_GENERATION)
    )
    for _ in range(SETTLE_TRIES):
        outcome = await store.table.commit((bar,))
        if isinstance(outcome, Committed):
            return NotAccepted(detail='the table service lost the change')
        if isinstance(outcome, ConditionFailed):
            return _judge_settled(snapshot, outcome)
    return AcceptanceUnknown(detail='the table service does not answer')


def _judge_settled(
    snapshot: ConfigurationSnapshot, outcome: ConditionFailed
) -> AcceptanceOutcome:
    mark = _decode_mark(outcome.rows[0])
    if mark is None or mark.generation == ABANDONED_GENERATION:
        return NotAccepted(detail='the table service lost the change')
    if mark.generation == snapshot.document.generation:
        return Accepted(generation=mark.generation, snapshot=snapshot)
    return Accepted(generation=mark.generation, snapshot=None)


def _judge_condition(
    document: ConfigurationDocument, outcome: ConditionFailed
) -> AcceptanceOutcome:
    for key, row in zip(outcome.keys, outcome.rows, strict=False):
        mark = _decode_mark(row)
        if key == build_change_key(document.change) and mark is not None:
            return convert_change_record(document.change, mark)
    return Overtaken()


def _build_record_write(
    change: ChangeId, mark: ChangeRecord
) -> ConditionalWrite:
    return ConditionalWrite(
        key=build_change_key(change),
        content=msgspec.json.encode(mark),
        expected_version=ABSENT_VERSION,
    )


def _decode_mark(row: Row | None) -> ChangeRecord | None:
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.content, type=ChangeRecord)
    except msgspec.MsgspecError:
        return None

"""Commit of an operator's change as a new generation."""

import dataclasses
from collections.abc import Callable, Container
from typing import Final

from ragwortcourse.configuration.acceptance import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
    Overtaken,
    commit_generation,
    convert_change_record,
    read_change_record,
)
from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.part import arrange_configuration
from ragwortcourse.configuration.snapshot import (
    ConfigurationSnapshot,
    build_snapshot,
)
from ragwortcourse.configuration.store import (
    ConfigurationStore,
    HeadRow,
    StoreFailed,
    read_head,
    read_snapshot,
)
from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex

WRITE_TRIES: Final = 8
# Settled withdrawals that a document lists; the oldest are dropped first.
SETTLED_KEPT: Final = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Outcome: another operator's change came first; nothing took effect.

    :param document: newest document; none before the first generation.
    """

    document: ConfigurationDocument | None

    @property
    def generation(self) -> Generation:
        """Generation of the document, zero before the first one."""
        return self.document.generation if self.document else Generation(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draft:
    """Content that a change proposes for the next generation.

    :param settled: withdrawals that the generation takes over or ends.
    """

    configuration: Configuration
    settled: tuple[ChangeId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaseGeneration:
    """Generation that a change builds on, and the head row.

    :param row: head row, for the compare-and-set.
    :param snapshot: none before the first generation.
    """

    row: HeadRow
    snapshot: ConfigurationSnapshot | None

    @property
    def document(self) -> ConfigurationDocument | None:
        """Document of the generation; none before the first one."""
        return self.snapshot.document if self.snapshot else None

    @property
    def stored(self) -> Container[Sha256Hex]:
        """Digests of the parts that the object store already has.

        These are all parts of the generation that the head names, as parts
        are stored before the head is written. Empty where the head does not
        name the snapshot, for instance after a restored backup.
        """
        head, snapshot = self.row.head, self.snapshot
        if head is None or snapshot is None or head.sha256 != snapshot.sha256:
            return frozenset()
        return snapshot.contents

    @property
    def generation(self) -> Generation:
        """Generation of the document, zero before the first one."""
        return self.document.generation if self.document else Generation(0)

    @property
    def configuration(self) -> Configuration:
        """Configuration of the document, empty before the first one."""
        return self.document.configuration if self.document else Configuration()


ChangeOutcome = Accepted | Conflict | NotAccepted | AcceptanceUnknown
# Builds the draft of the next generation; none where the change conflicts
# with the base.
Drafter = Callable[[BaseGeneration], Draft | None]


async def commit_change(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    change: ChangeId,
    draft: Drafter,
) -> ChangeOutcome:
    """Commit a change as a new generation and put that one in force here.

    When another generation is committed first, the change is drafted again
    on the newer generation, at most ``WRITE_TRIES`` times in all.

    :param change: id of the change; idempotent: a change that is sent again
        takes effect once.
    :param draft: called with the base of each try.
    :return: the outcome of the change.
    """
    for _ in range(WRITE_TRIES):
        base = await read_base(holder, store)
        if isinstance(base, StoreFailed):
            return NotAccepted(detail=base.detail)
        outcome = await _try_change(holder, store, change, draft, base)
        if not isinstance(outcome, Overtaken):
            return outcome
    return NotAccepted(detail='overtaken by other changes again and again')


async def read_base(
    holder: ConfigurationHolder, store: ConfigurationStore
) -> BaseGeneration | StoreFailed:
    """Read the head row and the newest generation.

    The generation is read from the object store where the head is newer
    than the generation in force here, and is then put in force.
    """
    row = await read_head(store)
    if isinstance(row, StoreFailed):
        return row
    if row.head is None or row.head.generation <= holder.generation:
        return BaseGeneration(row=row, snapshot=holder.snapshot)
    snapshot = await read_snapshot(holder, store, row.head)
    if isinstance(snapshot, StoreFailed):
        return snapshot
    holder.update_if_newer(snapshot.document, snapshot)
    return BaseGeneration(row=row, snapshot=snapshot)


async def _try_change(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    change: ChangeId,
    draft: Drafter,
    base: BaseGeneration,
) -> ChangeOutcome | Overtaken:
    drafted = draft(base)
    if drafted is None:
        return await _resolve_conflict(store, change, base)
    document = ConfigurationDocument(
        generation=Generation(base.generation + 1),
        configuration=arrange_configuration(drafted.configuration),
        change=change,
        settled_changes=_list_settled(base, drafted.settled),
    )
    snapshot = build_snapshot(document)
    outcome = await commit_generation(store, base.row, snapshot, base.stored)
    if isinstance(outcome, Accepted) and outcome.snapshot is not None:
        holder.update_if_newer(document, snapshot)
    return outcome


async def _resolve_conflict(
    store: ConfigurationStore, change: ChangeId, base: BaseGeneration
) -> ChangeOutcome:
    """Return a conflict, unless an earlier sending of the change succeeded."""
    record = await read_change_record(store, change)
    if isinstance(record, StoreFailed):
        return NotAccepted(detail=record.detail)
    if record is None:
        return Conflict(document=base.document)
    outcome = convert_change_record(change, record)
    return (
        outcome
        if isinstance(outcome, Accepted)
        else Conflict(document=base.document)
    )


def _list_settled(
    base: BaseGeneration, settled: tuple[ChangeId, ...]
) -> tuple[ChangeId, ...]:
    before = base.document.settled_changes if base.document else ()
    fresh = tuple(change for change in settled if change not in before)
    return (before + fresh)[-SETTLED_KEPT:]

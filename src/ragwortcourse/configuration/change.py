"""Changes that operators ask for, carried into a new generation."""

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
# Changes that a document remembers as settled.
SETTLED_KEPT: Final = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another operator's change went first; nothing took effect.

    :param document: the generation that did.
    """

    document: ConfigurationDocument | None

    @property
    def generation(self) -> Generation:
        """Generation that went first."""
        return self.document.generation if self.document else Generation(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draft:
    """The next generation as a change would have it."""

    configuration: Configuration
    settled: tuple[ChangeId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaseGeneration:
    """The generation that a change builds on, and its head row.

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
        """Parts that were stored before the head could name them."""
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
# Drafts the next generation; none where the base is in conflict with it.
Drafter = Callable[[BaseGeneration], Draft | None]


async def commit_change(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    change: ChangeId,
    draft: Drafter,
) -> ChangeOutcome:
    """Carry a change into a new generation, and hold that one.

    A change that was overtaken is drafted anew on the newer generation.

    :param change: id of the change; sending it again is harmless.
    :param draft: called with each base that is tried.
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
    """The newest generation, from the platform or held here."""
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
        return await _judge_conflict(store, change, base)
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


async def _judge_conflict(
    store: ConfigurationStore, change: ChangeId, base: BaseGeneration
) -> ChangeOutcome:
    """A conflict, unless it is with an earlier sending of the change."""
    mark = await read_change_record(store, change)
    if isinstance(mark, StoreFailed):
        return NotAccepted(detail=mark.detail)
    if mark is None:
        return Conflict(document=base.document)
    outcome = convert_change_record(change, mark)
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

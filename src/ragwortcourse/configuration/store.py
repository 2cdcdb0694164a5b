"""The configuration as the platform's services hold it."""

import dataclasses

import msgspec

from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.head import (
    HEAD_KEY,
    Head,
    digest_content,
    name_document,
)
from ragwortcourse.platform.objects import ObjectFailed, ObjectStore
from ragwortcourse.platform.table import (
    ABSENT,
    ReadFailed,
    TableService,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationStore:
    """The two services that hold the configuration."""

    table: TableService
    objects: ObjectStore


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRow:
    """The head as it was read.

    :param head: none before the first generation.
    :param row_version: version of the row, for a compare-and-set.
    """

    head: Head | None
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed:
    """The platform did not give what was asked for, or gave it spoilt."""

    detail: str


async def read_head(store: ConfigurationStore) -> HeadRow | StoreFailed:
    """The head row as the table service has it now."""
    outcome = await store.table.read(HEAD_KEY)
    if isinstance(outcome, ReadFailed):
        return StoreFailed(detail=outcome.detail)
    if outcome.row is None:
        return HeadRow(head=None, row_version=ABSENT)
    try:
        head = msgspec.json.decode(outcome.row.content, type=Head)
    except msgspec.MsgspecError as error:
        return StoreFailed(detail=f'unreadable row {HEAD_KEY}: {error}')
    return HeadRow(head=head, row_version=outcome.row.version)


async def read_document(
    store: ConfigurationStore, head: Head
) -> ConfigurationDocument | StoreFailed:
    """The document of a head, checked against its digest."""
    name = name_document(head)
    outcome = await store.objects.read(name)
    if isinstance(outcome, ObjectFailed):
        return StoreFailed(detail=outcome.detail)
    if outcome.content is None:
        return StoreFailed(detail=f'no object {name}')
    if digest_content(outcome.content) != head.sha256:
        return StoreFailed(detail=f'digest of object {name} is wrong')
    try:
        return msgspec.json.decode(outcome.content, type=ConfigurationDocument)
    except msgspec.MsgspecError as error:
        return StoreFailed(detail=f'unreadable object {name}: {error}')

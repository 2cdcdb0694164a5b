"""The configuration as the platform's services hold it."""

import asyncio
import dataclasses
from collections.abc import Container

import msgspec

from ragwortcourse.configuration.gathering import fetch_snapshot
from ragwortcourse.configuration.head import (
    HEAD_KEY,
    Head,
    build_index_object_name,
    build_part_object_name,
)
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import (
    ConfigurationSnapshot,
    digest_content,
)
from ragwortcourse.identifiers import Sha256Hex
from ragwortcourse.storage.objects import (
    ObjectFailed,
    ObjectName,
    ObjectStore,
)
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
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
        return HeadRow(head=None, row_version=ABSENT_VERSION)
    try:
        head = msgspec.json.decode(outcome.row.content, type=Head)
    except msgspec.MsgspecError as error:
        return StoreFailed(detail=f'unreadable row {HEAD_KEY}: {error}')
    return HeadRow(head=head, row_version=outcome.row.version)


async def read_snapshot(
    holder: ConfigurationHolder, store: ConfigurationStore, head: Head
) -> ConfigurationSnapshot | StoreFailed:
    """The generation of a head, each part checked against its digest."""

    async def read_part(digest: Sha256Hex) -> bytes | None:
        outcome = await store.objects.read(build_part_object_name(digest))
        return None if isinstance(outcome, ObjectFailed) else outcome.content

    name = build_index_object_name(head)
    outcome = await store.objects.read(name)
    if isinstance(outcome, ObjectFailed):
        return StoreFailed(detail=outcome.detail)
    if outcome.content is None:
        return StoreFailed(detail=f'no object {name}')
    if digest_content(outcome.content) != head.sha256:
        return StoreFailed(detail=f'digest of object {name} is wrong')
    snapshot = await fetch_snapshot(holder, outcome.content, read_part)
    if snapshot is None:
        return StoreFailed(detail=f'a part of object {name} can not be had')
    return snapshot


async def write_snapshot(
    store: ConfigurationStore,
    snapshot: ConfigurationSnapshot,
    stored: Container[Sha256Hex],
) -> Head | StoreFailed:
    """Store a generation, before a head may name it.

    :param stored: parts that the object store is known to have.
    """
    head = Head(generation=snapshot.document.generation, sha256=snapshot.sha256)
    objects: dict[ObjectName, bytes] = {
        build_part_object_name(digest): content
        for digest, content in snapshot.contents.items()
        if digest not in stored
    }
    objects[build_index_object_name(head)] = snapshot.index
    outcomes = await asyncio.gather(
        *(store.objects.write(name, part) for name, part in objects.items())
    )
    for outcome in outcomes:
        if isinstance(outcome, ObjectFailed):
            return StoreFailed(detail=outcome.detail)
    return head

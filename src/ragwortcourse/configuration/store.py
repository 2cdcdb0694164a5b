"""Reads and writes of the configuration in the platform's services."""

import asyncio
import dataclasses
from collections.abc import Container

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
from ragwortcourse.decoding import decode_json
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
from ragwortcourse.unreadable import UnreadableError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationStore:
    """Table service and object store that hold the configuration."""

    table: TableService
    objects: ObjectStore


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRow:
    """Head row as it was read.

    :param head: none before the first generation.
    :param row_version: version of the row, for a compare-and-set.
    """

    head: Head | None
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed:
    """Failure of the platform: no answer, or missing or corrupt data.

    :param detail: reason for the operator.
    """

    detail: str


async def read_head(store: ConfigurationStore) -> HeadRow | StoreFailed:
    """Read the head row from the table service."""
    outcome = await store.table.read(HEAD_KEY)
    if isinstance(outcome, ReadFailed):
        return StoreFailed(detail=outcome.detail)
    if outcome.row is None:
        return HeadRow(head=None, row_version=ABSENT_VERSION)
    try:
        head = decode_json(outcome.row.content, Head)
    except UnreadableError as error:
        return StoreFailed(detail=f'unreadable row {HEAD_KEY}: {error}')
    return HeadRow(head=head, row_version=outcome.row.version)


async def read_snapshot(
    holder: ConfigurationHolder, store: ConfigurationStore, head: Head
) -> ConfigurationSnapshot | StoreFailed:
    """Read the generation of a head, with the digest of each part checked."""

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
    """Write the objects of a generation, before the head may name it.

    :param stored: digests of parts that the object store already has; these
        are not written again.
    :return: head that names the generation.
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

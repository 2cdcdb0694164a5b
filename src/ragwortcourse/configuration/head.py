"""The head row and the names under which generations are kept."""

from typing import Final

import msgspec

from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex
from ragwortcourse.storage.objects import ObjectName
from ragwortcourse.storage.table import TableKey

HEAD_KEY: Final = TableKey('configuration/head')


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the head row: which generation is in force.

    :param sha256: digest of its index.
    """

    generation: Generation
    sha256: Sha256Hex


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a change's own row.

    :param generation: generation that the change made; zero where it was
        given up and can no longer take effect.
    """

    generation: Generation


def build_index_object_name(head: Head) -> ObjectName:
    """Name of the object that holds the index of a head."""
    return ObjectName(f'configuration/{head.generation}-{head.sha256}')


def build_part_object_name(digest: Sha256Hex) -> ObjectName:
    """Name of the object that holds a part."""
    return ObjectName(f'configuration/part/{digest}')


def build_change_key(change: ChangeId) -> TableKey:
    """Key of the row that says what became of a change."""
    return TableKey(f'configuration/change/{change}')

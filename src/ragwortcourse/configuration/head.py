"""Rows and object names under which generations are stored."""

from typing import Final

import msgspec

from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex
from ragwortcourse.storage.objects import ObjectName
from ragwortcourse.storage.table import TableKey

HEAD_KEY: Final = TableKey('configuration/head')


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the head row, which names the newest generation.

    :param sha256: digest of the index of that generation.
    """

    generation: Generation
    sha256: Sha256Hex


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row that records the outcome of one change.

    :param generation: generation that the change made; zero where the change
        was abandoned and can no longer take effect.
    """

    generation: Generation


def build_index_object_name(head: Head) -> ObjectName:
    """Build the name of the object with the index that a head names."""
    return ObjectName(f'configuration/{head.generation}-{head.sha256}')


def build_part_object_name(digest: Sha256Hex) -> ObjectName:
    """Build the name of the object that holds a part."""
    return ObjectName(f'configuration/part/{digest}')


def build_change_key(change: ChangeId) -> TableKey:
    """Build the key of the row that records the outcome of a change."""
    return TableKey(f'configuration/change/{change}')

"""The head row and the names under which generations are kept."""

import hashlib
from typing import Final

import msgspec

from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex
from ragwortcourse.platform.objects import ObjectName
from ragwortcourse.platform.table import TableKey

HEAD_KEY: Final = TableKey('configuration/head')


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the head row: which document is in force."""

    generation: Generation
    sha256: Sha256Hex


class ChangeMark(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a change's own row.

    :param generation: generation that the change made; zero where it was
        given up and can no longer take effect.
    """

    generation: Generation


def name_document(head: Head) -> ObjectName:
    """Name of the object that holds the document of a head."""
    return ObjectName(f'configuration/{head.generation}-{head.sha256}')


def name_change(change: ChangeId) -> TableKey:
    """Key of the row that says what became of a change."""
    return TableKey(f'configuration/change/{change}')


def encode_document(document: ConfigurationDocument) -> bytes:
    """Bytes of a document, the same for the same document."""
    return msgspec.json.encode(document, order='deterministic')


def digest_content(content: bytes) -> Sha256Hex:
    """SHA-256 of a stored document."""
    return Sha256Hex(hashlib.sha256(content).hexdigest())

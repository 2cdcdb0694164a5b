"""Stored form of a generation: an index, and parts named by digest."""

import dataclasses
import hashlib
from collections.abc import Mapping

import msgspec

from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.part import (
    Part,
    join_configuration,
    join_settled,
    split_accounts,
    split_shared,
)
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex
from ragwortcourse.unreadable import UnreadableError


class Index(msgspec.Struct, frozen=True, kw_only=True):
    """Digests of all parts of one generation.

    :param shared: digests of parts that every daemon holds.
    :param accounts: digests of parts with client accounts, which agents do
        not hold.
    """

    generation: Generation
    change: ChangeId
    shared: tuple[Sha256Hex, ...]
    accounts: tuple[Sha256Hex, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSnapshot:
    """One generation, with or without its client accounts.

    :param index: bytes of the index.
    :param sha256: digest of the index, which identifies the generation's
        content as the index has the digest of every part.
    :param contents: bytes of the parts that are held, by digest.
    """

    document: ConfigurationDocument
    index: bytes
    sha256: Sha256Hex
    contents: Mapping[Sha256Hex, bytes]


def digest_content(content: bytes) -> Sha256Hex:
    """Compute the SHA-256 digest of an index or a part."""
    return Sha256Hex(hashlib.sha256(content).hexdigest())


def build_snapshot(document: ConfigurationDocument) -> ConfigurationSnapshot:
    """Split and encode a document that has its client accounts.

    Deterministic: equal documents give the same bytes.
    """
    shared = [_encode(part) for part in split_shared(document)]
    accounts = [_encode(part) for part in split_accounts(document)]
    index = _encode(
        Index(
            generation=document.generation,
            change=document.change,
            shared=tuple(digest_content(content) for content in shared),
            accounts=tuple(digest_content(content) for content in accounts),
        )
    )
    return ConfigurationSnapshot(
        document=document,
        index=index,
        sha256=digest_content(index),
        contents={
            digest_content(content): content for content in shared + accounts
        },
    )


def read_index(content: bytes) -> Index | None:
    """Decode an index; none where the bytes are not an index."""
    try:
        return decode_json(content, Index)
    except UnreadableError:
        return None


def list_parts(index: Index, *, with_accounts: bool) -> tuple[Sha256Hex, ...]:
    """List the digests of the parts that a daemon needs, in order."""
    return index.shared + index.accounts if with_accounts else index.shared


def assemble_snapshot(
    content: bytes, parts: Mapping[Sha256Hex, bytes], *, with_accounts: bool
) -> ConfigurationSnapshot | None:
    """Assemble a snapshot from an index and its parts.

    :param content: bytes of the index.
    :param parts: bytes of parts by digest; the caller has checked digests.
    :return: none where the index or a part is malformed or a part is missing.
    """
    index = read_index(content)
    if index is None:
        return None
    wanted = list_parts(index, with_accounts=with_accounts)
    try:
        read = [decode_json(parts[one], Part) for one in wanted]
    except (KeyError, UnreadableError):
        return None
    return ConfigurationSnapshot(
        document=ConfigurationDocument(
            generation=index.generation,
            configuration=join_configuration(read),
            change=index.change,
            settled_changes=join_settled(read),
        ),
        index=content,
        sha256=digest_content(content),
        contents={one: parts[one] for one in wanted},
    )


def _encode(message: Index | Part) -> bytes:
    return msgspec.json.encode(message, order='deterministic')

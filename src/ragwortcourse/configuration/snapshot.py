"""A generation as it is stored and spread: an index, and parts by digest."""

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
from ragwortcourse.identifiers import ChangeId, Generation, Sha256Hex


class Index(msgspec.Struct, frozen=True, kw_only=True):
    """Names every part of one generation by its digest.

    :param shared: parts that every daemon holds.
    :param accounts: parts with client accounts, which agents do without.
    """

    generation: Generation
    change: ChangeId
    shared: tuple[Sha256Hex, ...]
    accounts: tuple[Sha256Hex, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSnapshot:
    """One generation, whole or without its client accounts.

    :param sha256: digest of the index, and so of the whole generation.
    :param contents: bytes of the parts that are held, by digest.
    """

    document: ConfigurationDocument
    index: bytes
    sha256: Sha256Hex
    contents: Mapping[Sha256Hex, bytes]


def digest_content(content: bytes) -> Sha256Hex:
    """SHA-256 of an index or a part."""
    return Sha256Hex(hashlib.sha256(content).hexdigest())


def build_snapshot(document: ConfigurationDocument) -> ConfigurationSnapshot:
    """The snapshot of a whole document; the same for the same document."""
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
    """The index in some bytes, if it is one."""
    try:
        return msgspec.json.decode(content, type=Index)
    except msgspec.MsgspecError:
        return None


def list_parts(index: Index, *, with_accounts: bool) -> tuple[Sha256Hex, ...]:
    """Digests of the parts that a daemon wants, in order."""
    return index.shared + index.accounts if with_accounts else index.shared


def assemble_snapshot(
    content: bytes, parts: Mapping[Sha256Hex, bytes], *, with_accounts: bool
) -> ConfigurationSnapshot | None:
    """The snapshot of an index; none unless each part of it is there.

    :param content: bytes of the index.
    :param parts: bytes of parts whose digests were checked.
    """
    index = read_index(content)
    if index is None:
        return None
    wanted = list_parts(index, with_accounts=with_accounts)
    try:
        read = [msgspec.json.decode(parts[one], type=Part) for one in wanted]
    except (KeyError, msgspec.MsgspecError):
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

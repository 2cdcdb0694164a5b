"""Messages of the table service, as JSON over HTTP."""

import msgspec


class WireRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row; the content travels in base 64."""

    key: str
    version: int
    content: bytes


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /read``."""

    key: str


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a read; no row means the key is absent."""

    row: WireRow | None


class WireWrite(msgspec.Struct, frozen=True, kw_only=True):
    """One write of a transaction."""

    key: str
    content: bytes | None
    expected_version: int | None


class CommitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /commit``."""

    writes: tuple[WireWrite, ...]


class CommitVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a commit that was decided.

    :param committed: true where every write took effect.
    :param keys: rows that were not as expected.
    :param rows: those rows as they are; none where absent.
    """

    committed: bool
    keys: tuple[str, ...] = ()
    rows: tuple[WireRow | None, ...] = ()


class CommitRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Answer with status 503: the service did nothing."""

    refused: bool
    detail: str = ''

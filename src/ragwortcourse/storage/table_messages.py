"""Messages of the table service, as JSON over HTTP."""

import msgspec


class WireRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row; the content is encoded in base 64."""

    key: str
    version: int
    content: bytes


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /read``."""

    key: str


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read; the row is None if the key is absent."""

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
    """Answer to a commit with a known outcome.

    :param committed: whether all writes took effect.
    :param keys: keys of rows whose conditions failed.
    :param rows: current rows of these keys; None if absent.
    """

    committed: bool
    keys: tuple[str, ...] = ()
    rows: tuple[WireRow | None, ...] = ()


class CommitRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Answer with status 503.

    :param refused: whether the service guarantees that nothing took effect.
    """

    refused: bool
    detail: str = ''

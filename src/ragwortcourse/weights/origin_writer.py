"""Port for publication to the origin of weights."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.weights.origin import OriginFailed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginStored:
    """The origin has stored the object."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginUnreached:
    """No connection to the origin; nothing was stored."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionTaken:
    """The version exists with other weights and is not changed.

    :param digest: of the manifest for which the version is reserved.
    """

    digest: Sha256Hex


StoreOutcome = OriginStored | OriginFailed
ReserveOutcome = StoreOutcome | OriginUnreached | VersionTaken


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginWriter:
    """Port for writing to the origin.

    :param reserve_version: reserves a version's name for a manifest,
        permanently.
    :param write_chunk: writes one chunk of a model version by index.
    :param write_manifest: writes a manifest under its digest.
    """

    reserve_version: Callable[
        [ModelName, VersionName, Sha256Hex],
        Awaitable[ReserveOutcome],
    ]
    write_chunk: Callable[
        [ModelName, VersionName, int, bytes],
        Awaitable[StoreOutcome],
    ]
    write_manifest: Callable[[Sha256Hex, bytes], Awaitable[StoreOutcome]]

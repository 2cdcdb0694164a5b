"""Port to the origin of weights for whoever publishes."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.weights.origin import OriginFailed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginStored:
    """The origin keeps it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginUnreached:
    """The origin was not reached, and holds nothing new."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionTaken:
    """The version is there with other weights, and stays as it is.

    :param digest: of the manifest that has the name.
    """

    digest: Sha256Hex


StoreOutcome = OriginStored | OriginFailed
ReserveOutcome = StoreOutcome | OriginUnreached | VersionTaken


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginWriter:
    """What publication asks of the origin.

    :param reserve_version: take a version's name for a manifest, for good.
    :param write_chunk: one chunk of a model version by index.
    :param write_manifest: a manifest under its digest.
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

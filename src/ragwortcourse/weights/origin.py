"""Port to the origin of weights, which is rate-limited."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginContent:
    """Bytes as the origin sent them, not yet checked."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginBusy:
    """The origin's rate limit refused; come back after some seconds."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginFailed:
    """The origin did not answer whole."""

    detail: str


OriginOutcome = OriginContent | OriginBusy | OriginFailed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightOrigin:
    """Where weights come from.

    :param read_manifest: manifest by its digest.
    :param read_chunk: one chunk of a model version by index.
    """

    read_manifest: Callable[[Sha256Hex], Awaitable[OriginOutcome]]
    read_chunk: Callable[
        [ModelName, VersionName, int],
        Awaitable[OriginOutcome],
    ]

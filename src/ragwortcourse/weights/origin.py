"""Port to the origin of weights, which is rate-limited."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginContent:
    """Unverified bytes from the origin."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginBusy:
    """The origin's rate limit rejected the request.

    :param retry_after: seconds to wait before the next request.
    """

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginFailed:
    """The origin gave no complete answer."""

    detail: str


OriginOutcome = OriginContent | OriginBusy | OriginFailed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightOrigin:
    """Port for reading from the origin.

    :param read_manifest: reads a manifest by its digest.
    :param read_chunk: reads one chunk of a model version by index.
    """

    read_manifest: Callable[[Sha256Hex], Awaitable[OriginOutcome]]
    read_chunk: Callable[
        [ModelName, VersionName, int],
        Awaitable[OriginOutcome],
    ]

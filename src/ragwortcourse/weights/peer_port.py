"""Port through which one agent draws chunks from another."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
    Sha256Hex,
)
from ragwortcourse.messages.peer_port import PeerUnavailable

# Index under which the manifest itself is asked for.
MANIFEST_INDEX: Final = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """One agent that draws the same weights.

    :param address: ``ip:port`` of its peers port.
    """

    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkRequest:
    """What is asked for.

    :param manifest: digest of the manifest.
    :param index: chunk, or ``MANIFEST_INDEX``.
    :param refetch: draw it from the origin, if it is not held any more.
    :param urgent: the origin failed; send it whatever the link has carried.
    :param silent: peers that do not answer the sender.
    """

    manifest: Sha256Hex
    index: int
    sender: DaemonId
    refetch: bool = False
    urgent: bool = False
    silent: tuple[DaemonId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkAnswer:
    """What a peer that lives answers.

    :param silent: peers that do not answer it.
    """

    silent: tuple[DaemonId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkContent(ChunkAnswer):
    """Bytes as the peer sent them, not yet checked."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkNotReady(ChunkAnswer):
    """The peer lives, but does not hold the chunk yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkEvicted(ChunkAnswer):
    """The peer held the chunk and let it go."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkRefused(ChunkAnswer):
    """The peer has sent as much of this version as its link may carry."""


ChunkOutcome = ChunkAnswer | PeerUnavailable
Neighbours = Callable[[], tuple[PeerAddress, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkPort:
    """What one agent asks of another, by its ``ip:port``.

    :param fetch: one chunk; may wait for the peer to get it.
    """

    fetch: Callable[[str, ChunkRequest], Awaitable[ChunkOutcome]]

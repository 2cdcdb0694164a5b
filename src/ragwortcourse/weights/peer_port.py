"""Port through which one agent fetches chunks from another."""

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

# Index in a chunk request that asks for the manifest itself.
MANIFEST_INDEX: Final = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """One agent that downloads the same weights.

    :param address: ``ip:port`` of its peers port.
    """

    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkRequest:
    """Request for one chunk.

    :param manifest: digest of the manifest.
    :param index: chunk, or ``MANIFEST_INDEX``.
    :param refetch: download the chunk from the origin again if the peer has
        evicted it.
    :param urgent: the origin failed; send the chunk even if the link budget
        of the version is used up.
    :param leaf: no host waits for the sender to pass the chunk on, so the peer
        may decline.
    :param probe: answer at once, without content.
    :param silent: peers that do not answer the sender.
    """

    manifest: Sha256Hex
    index: int
    sender: DaemonId
    refetch: bool = False
    urgent: bool = False
    leaf: bool = False
    probe: bool = False
    silent: tuple[DaemonId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkAnswer:
    """Answer of a live peer.

    :param silent: peers that do not answer this peer.
    """

    silent: tuple[DaemonId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkContent(ChunkAnswer):
    """Unverified bytes from the peer."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkNotReady(ChunkAnswer):
    """The peer is live but does not hold the chunk yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkEvicted(ChunkAnswer):
    """The peer held the chunk and has evicted it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkRefused(ChunkAnswer):
    """The peer's link budget for this version is used up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkDeclined(ChunkAnswer):
    """The peer keeps its link budget for other chunks."""


ChunkOutcome = ChunkAnswer | PeerUnavailable
ListPeers = Callable[[], tuple[PeerAddress, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkPort:
    """Calls to another agent at its ``ip:port``.

    :param fetch: fetches one chunk; the peer may hold the request until it
        has the chunk.
    """

    fetch: Callable[[str, ChunkRequest], Awaitable[ChunkOutcome]]

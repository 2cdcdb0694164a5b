"""State of one manifest's weights on a host, during and after download."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.weights.chunk_memory import ChunkMemory
from ragwortcourse.weights.download_slots import open_download_slots
from ragwortcourse.weights.held_chunks import HeldChunks
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, PeerAddress
from ragwortcourse.weights.transfer_counts import TransferCounts
from ragwortcourse.weights.tree import ChunkTree

# Time without a new chunk after which a host no longer expects the next chunks
# from its sources. A host whose chunks keep coming, however slowly, waits.
STANDSTILL_SECONDS: Final = 15.0
# Number of later chunks that may arrive before a chunk is overdue.
MAX_OVERTAKING: Final = 8


class Transfer:
    """State of one transfer.

    :param digest: digest of the manifest.
    :param own: address of this host.
    :param tree: sources of each chunk; ``view`` is the tree without members
        that do not answer.
    :param memory: memory shared by the chunks of all transfers.
    """

    def __init__(
        self,
        *,
        digest: Sha256Hex,
        own: PeerAddress,
        tree: ChunkTree,
        memory: ChunkMemory,
    ) -> None:
        self.digest = digest
        self.tree = tree
        self.view = tree
        self.held = HeldChunks(memory=memory)
        self.counts = TransferCounts()
        self.manifest: Manifest | None = None
        self.started_at = read_clock()
        self.ended_at: float | None = None
        self.exhausted_peers: set[DaemonId] = set()
        self.slots = open_download_slots(
            near=tree.count_domain(own.failure_domain)
        )
        self.pending_sources: dict[int, DaemonId] = {}
        self.refetches: dict[int, asyncio.Task[bytes]] = {}
        self._own = own
        self._newest_index = MANIFEST_INDEX
        self._kept_at = read_clock()
        self._refusing: set[DaemonId] = set()
        self._first_members = frozenset(each.daemon for each in tree.members)
        self._manifest_content: bytes | None = None
        self._manifest_arrival = asyncio.Event()

    def require_manifest(self) -> Manifest:
        """Return the manifest, which precedes all chunks.

        :raises ValueError: the manifest has not been received.
        """
        if self.manifest is None:
            raise ValueError(f'manifest {self.digest} not received yet')
        return self.manifest

    def serves(self, peer: DaemonId) -> bool:
        """Return whether a peer may use this host's upload budget.

        During the download only the first members may, because late hosts
        would use up the budget of the first members.
        """
        return self.ended_at is not None or peer in self._first_members

    def note_refusal(self, peer: DaemonId) -> None:
        """Record that a peer refuses to send chunks."""
        self._refusing.add(peer)

    def is_late(self) -> bool:
        """Return whether sources refuse before half has been received."""
        if self.manifest is None:
            return False
        refusing = any(
            each.daemon in self._refusing for each in self.tree.members
        )
        return refusing and 2 * self.counts.verified < self.manifest.size

    def keep_manifest(self, content: bytes) -> None:
        """Keep the verified manifest content to serve it to peers."""
        self._manifest_content = content
        self.counts.overhead += len(content)
        self._manifest_arrival.set()

    def measure(self, index: int) -> int:
        """Return the bytes of a chunk; zero for the uncounted manifest."""
        if index == MANIFEST_INDEX:
            return 0
        return self.require_manifest().measure_chunk(index)

    def find_digest(self, index: int) -> Sha256Hex:
        """Return the expected digest of a chunk or of the manifest."""
        if index == MANIFEST_INDEX:
            return self.digest
        return self.require_manifest().chunks[index]

    def keep(self, index: int, content: bytes) -> None:
        """Keep a verified chunk whose memory has been reserved."""
        self._newest_index = max(self._newest_index, index)
        self._kept_at = read_clock()
        self.held.put(index, content, self.view.list_children(self._own, index))

    def expects(self, index: int) -> bool:
        """Return whether chunks keep arriving and this one is not overdue."""
        idle = read_clock() - self._kept_at
        is_next = self._newest_index < index + MAX_OVERTAKING
        return is_next and idle < STANDSTILL_SECONDS

    async def wait(self, index: int, seconds: float) -> bytes | None:
        """Wait for a chunk or the manifest; None if time runs out."""
        if index != MANIFEST_INDEX:
            return await self.held.wait(index, seconds)
        try:
            async with asyncio.timeout(seconds):
                await self._manifest_arrival.wait()
        except TimeoutError:
            return None
        return self._manifest_content

    def change_tree(self, tree: ChunkTree) -> None:
        """Replace the tree of sources."""
        self.tree = tree
        self.view = tree

    def exclude_absent(self, absent: frozenset[DaemonId]) -> None:
        """Leave members that do not answer out of the view."""
        if absent != self.view.absent:
            self.view = dataclasses.replace(self.tree, absent=absent)

    def close(self) -> None:
        """Cancel refetches and release all chunks."""
        for relay in self.refetches.values():
            relay.cancel()
        self.held.clear()

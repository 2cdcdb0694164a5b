"""One set of weights at this host, while it comes and afterwards."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.weights.chunk_memory import ChunkMemory
from ragwortcourse.weights.download_slots import open_draw_slots
from ragwortcourse.weights.held_chunks import HeldChunks
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, PeerAddress
from ragwortcourse.weights.transfer_counts import TransferCounts
from ragwortcourse.weights.tree import ChunkTree

# A host whose chunks keep coming, however slowly, waits for the next ones.
STANDSTILL_SECONDS: Final = 15.0
# Chunks that may overtake one that is still on its way.
OVERTAKEN: Final = 8


class Transfer:
    """State of one transfer.

    :param tree: from whom each chunk is drawn; its view leaves those out who
        do not answer.
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
        self.slots = open_draw_slots(near=tree.count_domain(own.failure_domain))
        self.asking: dict[int, DaemonId] = {}
        self.refetches: dict[int, asyncio.Task[bytes]] = {}
        self._own = own
        self._newest_index = MANIFEST_INDEX
        self._kept_at = read_clock()
        self._refusing: set[DaemonId] = set()
        self._first_members = frozenset(each.daemon for each in tree.members)
        self._manifest_content: bytes | None = None
        self._manifest_arrival = asyncio.Event()

    def require_manifest(self) -> Manifest:
        """The manifest, which has come before any chunk.

        :raises ValueError: it has not.
        """
        if self.manifest is None:
            raise ValueError(f'manifest {self.digest} is not here yet')
        return self.manifest

    def serves(self, peer: DaemonId) -> bool:
        """Tell whether a peer may have a part of what this host sends.

        Hosts that joined later would take the part of those from the start.
        """
        return self.ended_at is not None or peer in self._first_members

    def note_refusal(self, peer: DaemonId) -> None:
        """Note that a peer sends no more."""
        self._refusing.add(peer)

    def is_late(self) -> bool:
        """Tell whether sources have sent all they may before half has come."""
        if self.manifest is None:
            return False
        refusing = any(
            each.daemon in self._refusing for each in self.tree.members
        )
        return refusing and 2 * self.counts.verified < self.manifest.size

    def keep_manifest(self, content: bytes) -> None:
        """Keep the bytes that have the manifest's digest, for peers."""
        self._manifest_content = content
        self.counts.overhead = len(content)
        self._manifest_arrival.set()

    def measure(self, index: int) -> int:
        """Bytes of a chunk; zero for the manifest, which is not counted."""
        if index == MANIFEST_INDEX:
            return 0
        return self.require_manifest().measure_chunk(index)

    def find_digest(self, index: int) -> Sha256Hex:
        """Digest that a chunk, or the manifest, must have."""
        if index == MANIFEST_INDEX:
            return self.digest
        return self.require_manifest().chunks[index]

    def keep(self, index: int, content: bytes) -> None:
        """Keep a verified chunk, whose memory is reserved already."""
        self._newest_index = max(self._newest_index, index)
        self._kept_at = read_clock()
        self.held.put(index, content, self.view.list_children(self._own, index))

    def expects(self, index: int) -> bool:
        """Tell whether chunks come in turn, and this one is not overdue."""
        idle = read_clock() - self._kept_at
        is_next = self._newest_index < index + OVERTAKEN
        return is_next and idle < STANDSTILL_SECONDS

    async def wait(self, index: int, seconds: float) -> bytes | None:
        """Bytes of a chunk or of the manifest, if they come in time."""
        if index != MANIFEST_INDEX:
            return await self.held.wait(index, seconds)
        try:
            async with asyncio.timeout(seconds):
                await self._manifest_arrival.wait()
        except TimeoutError:
            return None
        return self._manifest_content

    def change_tree(self, tree: ChunkTree) -> None:
        """Draw by another tree from now on."""
        self.tree = tree
        self.view = tree

    def pass_by(self, absent: frozenset[DaemonId]) -> None:
        """Leave those out of the tree who do not answer."""
        if absent != self.view.absent:
            self.view = dataclasses.replace(self.tree, absent=absent)

    def close(self) -> None:
        """Let everything go."""
        for relay in self.refetches.values():
            relay.cancel()
        self.held.clear()

"""One set of weights at this host, while it comes and afterwards."""

import asyncio

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import DaemonId, Sha256Hex
from ragwortcourse.weights.chunk_memory import ChunkMemory
from ragwortcourse.weights.held_chunks import HeldChunks
from ragwortcourse.weights.manifest import Manifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX, PeerAddress
from ragwortcourse.weights.transfer_counts import TransferCounts
from ragwortcourse.weights.tree import ChunkTree


class Transfer:
    """State of one transfer.

    :param tree: from whom each chunk is drawn.
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
        self.held = HeldChunks(memory=memory)
        self.counts = TransferCounts()
        self.manifest: Manifest | None = None
        self.started_at = read_clock()
        self.ended_at: float | None = None
        self.spent: set[DaemonId] = set()
        self.asking: dict[int, DaemonId] = {}
        self.relays: dict[int, asyncio.Task[bytes]] = {}
        self._own = own
        self._manifest_content: bytes | None = None
        self._manifest_arrival = asyncio.Event()

    def require_manifest(self) -> Manifest:
        """The manifest, which has come before any chunk.

        :raises ValueError: it has not.
        """
        if self.manifest is None:
            raise ValueError(f'manifest {self.digest} is not here yet')
        return self.manifest

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
        self.held.put(index, content, self.tree.list_children(self._own, index))

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

    def close(self) -> None:
        """Let everything go."""
        for relay in self.relays.values():
            relay.cancel()
        self.held.clear()

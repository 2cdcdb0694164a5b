"""Download of one set of weights into the engine, chunk by chunk."""

import asyncio
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import OrderConfirmed, OrderRefused
from ragwortcourse.weights.agent_weights import AgentWeights
from ragwortcourse.weights.chunk_download import download_chunk
from ragwortcourse.weights.manifest import (
    Manifest,
    ManifestRefused,
    read_manifest,
)
from ragwortcourse.weights.orders import OrderSubject
from ragwortcourse.weights.peer_port import MANIFEST_INDEX
from ragwortcourse.weights.source_watch import watch_sources
from ragwortcourse.weights.transfer import Transfer
from ragwortcourse.weights.whole_digest import WholeDigest

# Chunks that this host downloads concurrently.
CONCURRENT_DOWNLOADS: Final = 16
STORE_ATTEMPTS: Final = 5
STORE_RETRY_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collected:
    """The engine holds every chunk, and the digest of the whole matches."""

    manifest: Manifest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CollectFailed:
    """The engine does not hold verified weights.

    :param lasting: a retry cannot help, as the manifest is wrong.
    """

    detail: str
    lasting: bool = False


CollectOutcome = Collected | CollectFailed


class ChunkPipeline:
    """One pass over the chunks of a manifest, in order of index.

    :ivar digest: digest of the whole over the chunks so far.
    :ivar failure: first failure; stops the workers.
    """

    def __init__(
        self,
        *,
        agent_weights: AgentWeights,
        transfer: Transfer,
        subject: OrderSubject,
    ) -> None:
        self.agent_weights = agent_weights
        self.transfer = transfer
        self.subject = subject
        self.digest = WholeDigest(held=transfer.held)
        self.failure: CollectFailed | None = None
        self._manifest = transfer.require_manifest()
        self._next = 0
        self._claim_lock = asyncio.Lock()

    async def work(self) -> None:
        """Process chunk after chunk until none is left or one fails."""
        while self.failure is None:
            index = await self._claim_next()
            if index is None:
                return
            await self._process(index)

    async def _claim_next(self) -> int | None:
        """Claim the next chunk; reserve its memory in order of index.

        :return: index, or ``None`` if no chunk is left.
        """
        async with self._claim_lock:
            index = self._next
            if index >= len(self._manifest.chunks):
                return None
            self._next += 1
            if self.transfer.held.find(index) is None:
                await self.agent_weights.exchange.memory.reserve(
                    self.transfer.measure(index)
                )
            return index

    async def _process(self, index: int) -> None:
        content = self.transfer.held.find(index)
        if content is None:
            content = await self._download(index)
        self.digest.advance()
        await self._store(index, content)

    async def _download(self, index: int) -> bytes:
        try:
            content = await download_chunk(
                self.agent_weights, self.transfer, index
            )
        except asyncio.CancelledError:
            self.agent_weights.exchange.memory.free(
                self.transfer.measure(index)
            )
            raise
        self.transfer.keep(index, content)
        return content

    async def _store(self, index: int, content: bytes) -> None:
        detail = ''
        for _ in range(STORE_ATTEMPTS):
            outcome = await self.agent_weights.ports.engine.store_chunk(
                self.subject.model,
                self.subject.version,
                self.subject.adapter,
                index,
                content,
            )
            if isinstance(outcome, OrderConfirmed):
                self.digest.note_stored(index)
                return
            detail = outcome.detail
            if isinstance(outcome, OrderRefused):
                break
            await asyncio.sleep(STORE_RETRY_SECONDS)
        self.failure = CollectFailed(detail=f'chunk {index}: {detail}')


async def collect_weights(
    agent_weights: AgentWeights,
    transfer: Transfer,
    subject: OrderSubject,
    version: str,
) -> CollectOutcome:
    """Download one set of weights into the engine and verify the whole.

    :param version: version that the manifest must name.
    """
    manifest = await _fetch_manifest(agent_weights, transfer)
    if isinstance(manifest, ManifestRefused):
        return CollectFailed(detail=manifest.detail, lasting=True)
    named = (str(manifest.model), str(manifest.version))
    if named != (str(subject.adapter or subject.model), version):
        return CollectFailed(detail=f'manifest is of {named}', lasting=True)
    transfer.held.clear_consumed()
    pipeline = ChunkPipeline(
        agent_weights=agent_weights, transfer=transfer, subject=subject
    )
    chunk = max(manifest.chunk_size, 1)
    capacity = max(agent_weights.exchange.memory.limit // chunk // 2, 1)
    async with (
        watch_sources(agent_weights, transfer),
        asyncio.TaskGroup() as group,
    ):
        for _ in range(min(CONCURRENT_DOWNLOADS, capacity)):
            group.create_task(pipeline.work())
    if pipeline.failure is not None:
        return pipeline.failure
    if pipeline.digest.read() != manifest.sha256:
        return CollectFailed(
            detail=f'the chunks do not make {manifest.sha256}', lasting=True
        )
    transfer.ended_at = read_clock()
    return Collected(manifest=manifest)


async def _fetch_manifest(
    agent_weights: AgentWeights, transfer: Transfer
) -> Manifest | ManifestRefused:
    if transfer.manifest is not None:
        return transfer.manifest
    content = await download_chunk(agent_weights, transfer, MANIFEST_INDEX)
    # A refused manifest is kept too, because every other host must read and
    # refuse it as well.
    transfer.keep_manifest(content)
    manifest = read_manifest(content, transfer.digest)
    if isinstance(manifest, Manifest):
        transfer.manifest = manifest
    return manifest

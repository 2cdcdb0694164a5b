"""Bringing one set of weights into the engine, chunk by chunk."""

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
from ragwortcourse.weights.transfer import Transfer
from ragwortcourse.weights.whole_digest import WholeDigest

# Chunks that may be on their way to this host at once.
DRAWS_AT_ONCE: Final = 16
STORE_TRIES: Final = 5
STORE_RETRY_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collected:
    """The engine holds every chunk, and the whole has its digest."""

    manifest: Manifest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CollectFailed:
    """The weights did not come together.

    :param lasting: trying again cannot help, as the manifest is wrong.
    """

    detail: str
    lasting: bool = False


CollectOutcome = Collected | CollectFailed


class ChunkPipeline:
    """One pass over the chunks of a manifest, in order of index."""

    def __init__(
        self,
        *,
        landing: AgentWeights,
        transfer: Transfer,
        subject: OrderSubject,
    ) -> None:
        self.landing = landing
        self.transfer = transfer
        self.subject = subject
        self.digest = WholeDigest(held=transfer.held)
        self.failure: CollectFailed | None = None
        self._manifest = transfer.require_manifest()
        self._next = 0
        self._turn = asyncio.Lock()

    async def work(self) -> None:
        """Bring chunk after chunk, until none is left or one fails."""
        while self.failure is None:
            index = await self._take_next()
            if index is None:
                return
            await self._bring(index)

    async def _take_next(self) -> int | None:
        """The next chunk, with memory reserved for it in order of index."""
        async with self._turn:
            index = self._next
            if index >= len(self._manifest.chunks):
                return None
            self._next += 1
            if self.transfer.held.find(index) is None:
                await self.landing.exchange.memory.reserve(
                    self.transfer.measure(index)
                )
            return index

    async def _bring(self, index: int) -> None:
        content = self.transfer.held.find(index)
        if content is None:
            content = await self._draw(index)
        self.digest.advance()
        await self._store(index, content)

    async def _draw(self, index: int) -> bytes:
        try:
            content = await download_chunk(self.landing, self.transfer, index)
        except asyncio.CancelledError:
            self.landing.exchange.memory.free(self.transfer.measure(index))
            raise
        self.transfer.keep(index, content)
        return content

    async def _store(self, index: int, content: bytes) -> None:
        detail = ''
        for _ in range(STORE_TRIES):
            outcome = await self.landing.ports.engine.store_chunk(
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
    landing: AgentWeights,
    transfer: Transfer,
    subject: OrderSubject,
    version: str,
) -> CollectOutcome:
    """Bring one set of weights whole and verified into the engine.

    :param version: version that the manifest must name.
    """
    manifest = await _learn_manifest(landing, transfer)
    if isinstance(manifest, ManifestRefused):
        return CollectFailed(detail=manifest.detail, lasting=True)
    named = (str(manifest.model), str(manifest.version))
    if named != (str(subject.adapter or subject.model), version):
        return CollectFailed(detail=f'manifest is of {named}', lasting=True)
    transfer.held.clear_consumed()
    collection = ChunkPipeline(
        landing=landing, transfer=transfer, subject=subject
    )
    chunk = max(manifest.chunk_size, 1)
    room = max(landing.exchange.memory.limit // chunk // 2, 1)
    async with asyncio.TaskGroup() as group:
        for _ in range(min(DRAWS_AT_ONCE, room)):
            group.create_task(collection.work())
    if collection.failure is not None:
        return collection.failure
    if collection.digest.read() != manifest.sha256:
        return CollectFailed(
            detail=f'the chunks do not make {manifest.sha256}', lasting=True
        )
    transfer.ended_at = read_clock()
    return Collected(manifest=manifest)


async def _learn_manifest(
    landing: AgentWeights, transfer: Transfer
) -> Manifest | ManifestRefused:
    if transfer.manifest is not None:
        return transfer.manifest
    content = await download_chunk(landing, transfer, MANIFEST_INDEX)
    # Kept even if it is refused: every other host has to see it as well.
    transfer.keep_manifest(content)
    manifest = read_manifest(content, transfer.digest)
    if isinstance(manifest, Manifest):
        transfer.manifest = manifest
    return manifest

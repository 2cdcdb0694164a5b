"""Brings the engine beside a loader to the named version."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.engine_rules import EngineRules
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName
from ragwortcourse.platform.engine import Engine, EngineReport, OrderOutcome
from ragwortcourse.settings import FleetSettings, LoaderSettings
from ragwortcourse.weights.chunk_store import ChunkStore, VersionChunks
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.version_choice import choose_version

# Reports of the engine on the same host cost next to nothing.
WATCH_SECONDS: Final = 0.2
LOADING_WATCH_SECONDS: Final = 0.05
# Chunks drawn at once: while one is waited for, the other fills the link.
DRAWN_AT_ONCE: Final = 2
# Part of the link that chunks may take; live requests share it.
LINK_SHARE: Final = 0.9
# Where operators have named none, engines hold the first one.
FIRST_VERSION: Final = 1
RETRY_SECONDS: Final = 0.2
BYTES_IN_MEGABIT: Final = 125_000

DrawChunk = Callable[[FleetManifest, int, int], Awaitable[bytes | None]]
ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]

LOGGER: Final = logging.getLogger(__name__)


class EngineLoading:
    """The weights of one engine: what it holds, and what it is to hold.

    :param draw: bytes of a chunk at a rate in bytes a second, unchecked.
    """

    def __init__(
        self,
        *,
        fleet: FleetSettings,
        loader: LoaderSettings,
        state: FleetState,
        engine: Engine,
        read_manifest: ReadManifest,
        draw: DrawChunk,
    ) -> None:
        self._fleet = fleet
        self._loader = loader
        self._state = state
        self._engine = engine
        self._read_manifest = read_manifest
        self._draw = draw
        self._store = ChunkStore()
        self._report: EngineReport | None = None
        self._rate = loader.link_mbps * BYTES_IN_MEGABIT * LINK_SHARE

    async def run(self) -> None:
        """Watch the engine and the named version for ever."""
        while True:
            self._report = await self._engine.read_report()
            rules = self._find_rules()
            if rules is None or self._report is None or self._report.busy:
                await asyncio.sleep(WATCH_SECONDS)
                continue
            wanted = self._read_wanted(rules)
            if self._read_held(rules) == wanted:
                await asyncio.sleep(WATCH_SECONDS)
            elif not await self._land(rules, wanted):
                await asyncio.sleep(RETRY_SECONDS)

    async def find_chunk(
        self, model: ModelName, version: int, index: int
    ) -> bytes | None:
        """A chunk of the version that the engine holds, unless it rotted."""
        rules = self._find_rules()
        if rules is None or rules.model != model:
            return None
        if self._read_held(rules) != version or index >= rules.chunks:
            return None
        kept = self._store.find(version)
        if kept is not None and index in kept.contents:
            return kept.contents[index]
        # Whoever asks checks it against the digest.
        return await self._engine.read_staged(model, index)

    def _find_rules(self) -> EngineRules | None:
        desired = self._state.desired
        if desired is None:
            return None
        return desired.find_engine(self._loader.service)

    def _read_wanted(self, rules: EngineRules) -> int:
        named = self._state.weights.get(rules.model)
        if named is None:
            return FIRST_VERSION
        return choose_version(
            named,
            held=self._read_held(rules),
            now=read_clock(),
            drawing=self._foresee_drawing(rules, named[-1].version),
            bound=self._fleet.version_ms / 1000,
        ).version

    def _foresee_drawing(self, rules: EngineRules, version: int) -> float:
        """Seconds until every chunk of a version could be here."""
        kept = self._store.find(version)
        missing = rules.chunks if kept is None else len(kept.missing)
        return missing * rules.chunk_bytes / self._rate

    def _read_held(self, rules: EngineRules) -> int:
        """Version of which the engine holds every layer; zero for none."""
        held = None if self._report is None else self._report.weights
        if held is None or held.first > 0 or held.end < rules.layers:
            return 0
        return held.version

    async def _land(self, rules: EngineRules, version: int) -> bool:
        """Bring the engine to a version; say whether it was ordered."""
        began_at = read_clock()
        manifest = await self._read_manifest(rules.model, version)
        if manifest is None or len(manifest.digests) != rules.chunks:
            LOGGER.warning('no manifest', extra={'version': version})
            return False
        chunks = self._store.open(manifest)
        await self._take_staged(chunks)
        staged = len(chunks.contents)
        if not await self._draw_missing(rules, chunks):
            return False
        drawn_at = read_clock()
        if not await self._check_stage(chunks):
            return False
        outcome = await self._engine.order_start(rules.model, version)
        LOGGER.info(
            'engine ordered to load',
            extra={
                'version': version,
                'outcome': outcome,
                'staged_before': staged,
                'drawing_seconds': drawn_at - began_at,
                'running': self._report and self._report.running,
            },
        )
        if outcome in {OrderOutcome.BEGUN, OrderOutcome.IN_EFFECT}:
            await self._await_loaded(rules, version)
            return True
        return False

    async def _await_loaded(self, rules: EngineRules, version: int) -> None:
        began_at = read_clock()
        while True:
            self._report = await self._engine.read_report()
            if self._report is None or not self._report.busy:
                break
            await asyncio.sleep(LOADING_WATCH_SECONDS)
        LOGGER.info(
            'engine loaded',
            extra={
                'version': version,
                'held': self._read_held(rules),
                'seconds': read_clock() - began_at,
            },
        )

    async def _take_staged(self, chunks: VersionChunks) -> None:
        model = chunks.manifest.model
        for index in sorted(await self._engine.list_staged(model)):
            if index in chunks.missing:
                chunks.take(index, await self._engine.read_staged(model, index))

    async def _check_stage(self, chunks: VersionChunks) -> bool:
        """Stage anew what is not there as it should be."""
        manifest = chunks.manifest
        for index, content in chunks.contents.items():
            staged = await self._engine.read_staged(manifest.model, index)
            if staged == content:
                continue
            if not await self._engine.write_staged(
                manifest.model, index, content
            ):
                return False
        return True

    async def _draw_missing(
        self, rules: EngineRules, chunks: VersionChunks
    ) -> bool:
        """Draw and stage every missing chunk; false: another one is wanted."""
        manifest = chunks.manifest
        queue = list(chunks.missing)

        async def draw_some() -> None:
            while queue and self._read_wanted(rules) == manifest.version:
                index = queue.pop(0)
                if not await self._draw_staged(chunks, index):
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        await asyncio.gather(*(draw_some() for _ in range(DRAWN_AT_ONCE)))
        return not chunks.missing

    async def _draw_staged(self, chunks: VersionChunks, index: int) -> bool:
        manifest = chunks.manifest
        rate = int(self._rate / DRAWN_AT_ONCE)
        content = await self._draw(manifest, index, rate)
        if content is None or not chunks.take(index, content):
            return False
        return await self._engine.write_staged(manifest.model, index, content)

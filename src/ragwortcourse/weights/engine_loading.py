"""Brings the engine beside a loader to the named version."""

import asyncio
import logging
from typing import Final

import aiohttp

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.engine_rules import EngineRules
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import DaemonId, RegionName, ServiceName
from ragwortcourse.platform.engine import Engine, EngineReport, OrderOutcome
from ragwortcourse.platform.weight_source import WeightSource
from ragwortcourse.settings import LoaderSettings, Settings
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.chunk_sources import (
    list_chunk_sources,
    order_chunks,
)
from ragwortcourse.weights.chunk_store import ChunkStore, VersionChunks
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_port import PeerAddress
from ragwortcourse.weights.tree import build_tree

# Reports of the engine on the same host cost next to nothing.
WATCH_SECONDS: Final = 0.2
# Chunks drawn at once: enough to fill the link over the longest way.
DRAWN_AT_ONCE: Final = 6
# Where operators have named none, engines hold the first one.
FIRST_VERSION: Final = 1
RETRY_SECONDS: Final = 0.2

LOGGER: Final = logging.getLogger(__name__)


class EngineLoading:
    """The weights of one engine: what it holds, and what it is to hold."""

    def __init__(
        self,
        *,
        settings: Settings,
        loader: LoaderSettings,
        state: FleetState,
        engine: Engine,
        origin: WeightSource,
        session: aiohttp.ClientSession,
    ) -> None:
        self._settings = settings
        self._loader = loader
        self._state = state
        self._engine = engine
        self._origin = origin
        self._session = session
        self._store = ChunkStore()
        self._manifests: dict[int, FleetManifest] = {}
        self._report: EngineReport | None = None

    async def run(self) -> None:
        """Watch the engine and the named version for ever."""
        while True:
            self._report = await self._engine.read_report()
            rules = self._find_rules()
            if rules is None or self._report is None or self._report.busy:
                await asyncio.sleep(WATCH_SECONDS)
                continue
            wanted = self._read_wanted(rules)
            if self._holds(rules, wanted):
                await asyncio.sleep(WATCH_SECONDS)
            elif not await self._land(rules, wanted):
                await asyncio.sleep(RETRY_SECONDS)

    async def find_chunk(
        self, version: int, index: int, seconds: float
    ) -> bytes | None:
        """A chunk for another loader, from memory or from the stage."""
        kept = self._store.find(version)
        if kept is not None:
            return await kept.wait(index, seconds)
        rules = self._find_rules()
        if rules is None or not self._holds(rules, version):
            return None
        manifest = await self._read_manifest(rules, version)
        if manifest is None or index >= len(manifest.digests):
            return None
        content = await self._engine.read_staged(rules.model, index)
        return content if manifest.matches(index, content) else None

    def _find_rules(self) -> EngineRules | None:
        rules = self._find_service(self._loader.service)
        return None if rules is None else rules.engine

    def _find_service(self, name: ServiceName) -> ServiceRules | None:
        desired = self._state.desired
        return None if desired is None else desired.services.get(name)

    def _find_origin(self) -> ServiceRules | None:
        desired = self._state.desired
        if desired is None:
            return None
        origins = (rules for rules in desired.services.values() if rules.origin)
        return next(origins, None)

    def _read_wanted(self, rules: EngineRules) -> int:
        named = self._state.weights.get(rules.model)
        return FIRST_VERSION if named is None else named.version

    def _holds(self, rules: EngineRules, version: int) -> bool:
        held = None if self._report is None else self._report.weights
        if held is None or held.version != version:
            return False
        return held.first == 0 and held.end >= rules.layers

    async def _read_manifest(
        self, rules: EngineRules, version: int
    ) -> FleetManifest | None:
        manifest = self._manifests.get(version)
        origin = self._find_origin()
        if manifest is None and origin is not None:
            manifest = await self._origin.read_manifest(
                origin.origin, rules.model, version
            )
            if manifest is not None and len(manifest.digests) == rules.chunks:
                self._manifests[version] = manifest
        return self._manifests.get(version)

    async def _land(self, rules: EngineRules, version: int) -> bool:
        """Bring the engine to a version; say whether it was ordered."""
        began_at = read_clock()
        manifest = await self._read_manifest(rules, version)
        if manifest is None:
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
        while self._read_wanted(rules) == version:
            self._report = await self._engine.read_report()
            if self._report is None or not self._report.busy:
                break
            await asyncio.sleep(WATCH_SECONDS / 4)
        LOGGER.info(
            'engine loaded',
            extra={
                'version': version,
                'holds': self._holds(rules, version),
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
        own, others, holders = self._list_peers(chunks.manifest.version)
        tree = build_tree(
            members=(*others, own), origin_region=self._read_origin_region()
        )
        queue = list(order_chunks(own=own, tree=tree, missing=chunks.missing))

        async def draw_some() -> None:
            while queue and self._read_wanted(rules) == chunks.manifest.version:
                index = queue.pop(0)
                sources = list_chunk_sources(
                    own=own, holders=holders, tree=tree, index=index
                )
                if not await self._draw(chunks, index, sources):
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        await asyncio.gather(*(draw_some() for _ in range(DRAWN_AT_ONCE)))
        return not chunks.missing

    def _read_origin_region(self) -> RegionName:
        origin = self._find_origin()
        fleet = self._settings.fleet
        if origin is None or fleet is None or origin.origin_domain is None:
            return self._settings.region
        return fleet.failure_domains[origin.origin_domain]

    async def _draw(
        self,
        chunks: VersionChunks,
        index: int,
        sources: tuple[PeerAddress, ...],
    ) -> bool:
        manifest = chunks.manifest
        for source in sources:
            content = await fetch_chunk(
                self._session, source.address, manifest, index
            )
            if chunks.take(index, content):
                break
        else:
            origin = self._find_origin()
            if origin is None:
                return False
            content = await self._origin.read_chunk(
                origin.origin, manifest, index
            )
            if not chunks.take(index, content):
                return False
        return await self._engine.write_staged(
            manifest.model, index, chunks.contents[index]
        )

    def _list_peers(
        self, version: int
    ) -> tuple[PeerAddress, list[PeerAddress], list[PeerAddress]]:
        """Own address, other loaders, and those whose engine has a version."""
        own = PeerAddress(
            daemon=DaemonId(self._loader.engine),
            address=self._settings.listen.peers,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
        )
        rules = self._find_rules()
        layers = 0 if rules is None else rules.layers
        others: list[PeerAddress] = []
        holders: list[PeerAddress] = []
        for target in self._state.targets.values():
            if target.service != self._loader.service:
                continue
            if target.address == self._loader.engine:
                continue
            peer = self._describe_peer(target)
            others.append(peer)
            held = target.weights
            if held and held.version == version and target.holds(layers):
                holders.append(peer)
        return own, others, holders

    def _describe_peer(self, target: Target) -> PeerAddress:
        # Loaders listen on the same port of every host.
        host = target.address.rpartition(':')[0]
        port = self._settings.listen.peers.rpartition(':')[2]
        return PeerAddress(
            daemon=DaemonId(target.address),
            address=f'{host}:{port}',
            failure_domain=target.failure_domain,
            region=target.region,
        )

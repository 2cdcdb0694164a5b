"""Brings the engine beside a loader to the named version."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.engine_rules import EngineRules
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.load_exchange import SwitchMessage
from ragwortcourse.forwarding.named_weights import NamedWeights
from ragwortcourse.forwarding.switch_notice import Announce
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ModelName
from ragwortcourse.membership.rendezvous import score_pair
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
# Staged chunks checked at once.
STAGED_AT_ONCE: Final = 4
# Part of the link that chunks may take; live requests share it.
LINK_SHARE: Final = 0.95
# Where operators have named none, engines hold the first one.
FIRST_VERSION: Final = 1
RETRY_SECONDS: Final = 0.2
# Before a version's bound, by which the last order is given.
LAST_ORDER_SECONDS: Final = 0.8
# Entry daemons send no work from the notice on, which is on its way for
# some milliseconds.
NOTICE_SECONDS: Final = 0.15
# For the order and the loading, where the second notice is lost.
CLOSED_SECONDS: Final = 0.8
BYTES_IN_MEGABIT: Final = 125_000

DrawChunk = Callable[[FleetManifest, int, int], Awaitable[bytes | None]]
ListService = Callable[[], Awaitable[Sequence[Target]]]
ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]

LOGGER: Final = logging.getLogger(__name__)


class EngineLoading:
    """The weights of one engine: what it holds, and what it is to hold.

    :param draw: bytes of a chunk at a rate in bytes a second, unchecked.
    :param announce: tells entry daemons of a switch.
    :param list_service: targets of the same service, as listed now.
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
        announce: Announce,
        list_service: ListService,
    ) -> None:
        self._fleet = fleet
        self._loader = loader
        self._state = state
        self._engine = engine
        self._read_manifest = read_manifest
        self._draw_chunk = draw
        self._announce = announce
        self._list_service = list_service
        self._store = ChunkStore()
        self._report: EngineReport | None = None
        self._without_manifest = 0
        self._rate = loader.link_mbps * BYTES_IN_MEGABIT * LINK_SHARE

    @property
    def link_rate(self) -> int:
        """Bytes a second that chunks may take of the link, each way."""
        return int(self._rate)

    async def draw(self) -> None:
        """Draw named versions into memory, one after the other, for ever."""
        while True:
            rules = self._find_rules()
            if rules is None or not await self._draw_next(rules):
                await asyncio.sleep(WATCH_SECONDS)

    async def switch(self) -> None:
        """Watch the engine, and order what is drawn, for ever."""
        while True:
            self._report = await self._engine.read_report()
            if not await self._switch_once():
                await asyncio.sleep(WATCH_SECONDS)

    async def _switch_once(self) -> bool:
        rules = self._find_rules()
        if rules is None or self._report is None or self._report.busy:
            return False
        drawn = self._find_drawn(rules)
        return drawn is not None and await self._order(rules, drawn)

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

    def _list_named(self, rules: EngineRules) -> Sequence[NamedWeights]:
        first = NamedWeights(version=FIRST_VERSION, seen_at=0)
        return self._state.weights.get(rules.model) or (first,)

    def _read_wanted(self, rules: EngineRules) -> int:
        """Version that is to be drawn next, or is being drawn."""
        named = self._list_named(rules)
        drawn = self._store.find_newest_whole()
        return choose_version(
            named,
            held=max(self._read_held(rules), drawn),
            now=read_clock(),
            drawing=self._foresee_drawing(rules, named[-1].version),
            bound=self._fleet.version_ms / 1000,
        ).version

    def _find_drawn(self, rules: EngineRules) -> VersionChunks | None:
        """The newest whole version, if the engine does not hold it."""
        newest = self._store.find_newest_whole()
        if not newest or newest == self._read_held(rules):
            return None
        if newest not in {named.version for named in self._list_named(rules)}:
            return None
        return self._store.find(newest)

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

    async def _draw_next(self, rules: EngineRules) -> bool:
        """Draw the wanted version; false where there is none to be drawn."""
        wanted = self._read_wanted(rules)
        if self._report is None or self._store.find_newest_whole() == wanted:
            return False
        if self._read_held(rules) == wanted:
            return False
        began_at = read_clock()
        manifest = await self._read_manifest(rules.model, wanted)
        if manifest is None or len(manifest.digests) != rules.chunks:
            self._note_no_manifest(wanted)
            return False
        chunks = self._store.open(manifest)
        await self._take_staged(chunks)
        staged = len(chunks.contents)
        await self._draw_missing(rules, chunks)
        LOGGER.info(
            'version drawn' if not chunks.missing else 'drawing given up',
            extra={
                'version': wanted,
                'staged_before': staged,
                'missing': len(chunks.missing),
                'seconds': read_clock() - began_at,
            },
        )
        return True

    def _note_no_manifest(self, version: int) -> None:
        if self._without_manifest != version:
            LOGGER.warning(
                'origin gives no manifest; asking again',
                extra={'version': version},
            )
        self._without_manifest = version

    async def _order(self, rules: EngineRules, chunks: VersionChunks) -> bool:
        """Have the engine load a version; say whether it began to."""
        version = chunks.manifest.version
        if not await self._check_stage(chunks):
            return False
        if self._read_held(rules):
            await asyncio.sleep(await self._choose_delay(rules, version))
            await self._announce_switch(CLOSED_SECONDS, 0)
            await asyncio.sleep(NOTICE_SECONDS)
        outcome = await self._engine.order_start(rules.model, version)
        LOGGER.info(
            'engine ordered to load',
            extra={
                'version': version,
                'outcome': outcome,
                'running': self._report and self._report.running,
            },
        )
        if outcome in {OrderOutcome.BEGUN, OrderOutcome.IN_EFFECT}:
            await self._await_loaded(rules, version)
            return True
        return False

    async def _choose_delay(self, rules: EngineRules, version: int) -> float:
        """Seconds by which engines that drew at once are ordered apart."""
        engines = sorted(
            (target.address for target in await self._list_service()),
            key=lambda address: score_pair(address, ''),
        )
        if self._loader.engine not in engines:
            return 0
        bound = self._fleet.version_ms / 1000 - LAST_ORDER_SECONDS
        left = min(
            named.seen_at + bound - read_clock()
            for named in self._list_named(rules)
            if named.version == version
        )
        turn = engines.index(self._loader.engine) / len(engines)
        return max(left, 0) * turn

    async def _announce_switch(self, seconds: float, version: int) -> None:
        await self._announce(
            SwitchMessage(
                address=self._loader.engine, seconds=seconds, version=version
            )
        )

    async def _await_loaded(self, rules: EngineRules, version: int) -> None:
        began_at = read_clock()
        while True:
            self._report = await self._engine.read_report()
            if self._report is None or not self._report.busy:
                break
            await asyncio.sleep(LOADING_WATCH_SECONDS)
        await self._announce_switch(0, self._read_held(rules))
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
        queue = list(chunks.contents.items())
        failed: list[int] = []

        async def check_some() -> None:
            while queue:
                index, content = queue.pop()
                if not await self._check_staged(chunks, index, content):
                    failed.append(index)

        await asyncio.gather(*(check_some() for _ in range(STAGED_AT_ONCE)))
        return not failed

    async def _check_staged(
        self, chunks: VersionChunks, index: int, content: bytes
    ) -> bool:
        model = chunks.manifest.model
        if await self._engine.read_staged(model, index) == content:
            return True
        return await self._engine.write_staged(model, index, content)

    async def _draw_missing(
        self, rules: EngineRules, chunks: VersionChunks
    ) -> None:
        """Draw missing chunks until another version is wanted."""
        manifest = chunks.manifest
        queue = list(chunks.missing)

        async def draw_some() -> None:
            while queue and self._read_wanted(rules) == manifest.version:
                index = queue.pop(0)
                if not await self._draw_one(rules, chunks, index):
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        await asyncio.gather(*(draw_some() for _ in range(DRAWN_AT_ONCE)))

    async def _draw_one(
        self, rules: EngineRules, chunks: VersionChunks, index: int
    ) -> bool:
        manifest = chunks.manifest
        rate = int(self._rate / DRAWN_AT_ONCE)
        content = await self._draw_chunk(manifest, index, rate)
        if content is None or not chunks.take(index, content):
            return False
        if self._find_drawn(rules) is None:
            # Nothing else is to be loaded from the stage first.
            await self._engine.write_staged(manifest.model, index, content)
        return True

"""Download of manifests and chunks from daemons, then from the origin."""

import asyncio
import dataclasses
import functools
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import aiohttp
from opentelemetry.metrics import get_meter

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.planning.chunk_options import ChunkOptions
from ragwortcourse.weights.planning.chunk_patience import ChunkPatience
from ragwortcourse.weights.planning.loader_demand import IsWanted, want_always
from ragwortcourse.weights.planning.origin_link import (
    CALLS_PER_ROOT,
    find_origin,
    measure_patience,
)
from ragwortcourse.weights.planning.origin_turns import OriginTurns

# Pause between requests for a manifest to the first daemon while the sources
# after it are slow.
REPEAT_SECONDS: Final = 0.3

ORIGIN_CHUNKS: Final = get_meter(__name__).create_counter(
    'ragwortcourse.weights.origin_chunks',
    description='chunks that this daemon asked the origin for',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetDownloader:
    """Downloader that asks daemons in a given order, then the origin.

    :param is_relay: whether an entry daemon asks.
    :param is_current: tells whether a version is still asked for when the
        turn of one of its chunks comes.
    """

    session: aiohttp.ClientSession
    state: FleetState
    calls: OriginCalls
    is_relay: bool = False
    is_current: IsWanted = want_always
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)
    patience: ChunkPatience = dataclasses.field(default_factory=ChunkPatience)
    origin_turns: OriginTurns = dataclasses.field(
        default_factory=functools.partial(OriginTurns, limit=CALLS_PER_ROOT)
    )

    async def read_manifest(
        self,
        addresses: Iterable[str],
        model: ModelName,
        version: int,
        *,
        is_substitute: bool = False,
    ) -> FleetManifest | None:
        """Return a version's manifest, or ``None`` if no source has it.

        A source behind a cut, or an origin with a full link, takes seconds.
        The first daemon may have read the manifest meanwhile.

        :param is_substitute: whether this daemon asks the origin although
            others run.
        """
        listed = tuple(addresses)
        asking = asyncio.ensure_future(
            self._ask_all(listed, model, version, is_substitute=is_substitute)
        )
        repeating = asyncio.ensure_future(
            self._ask_again(listed, model, version)
        )
        try:
            await asyncio.wait(
                (asking, repeating), return_when=asyncio.FIRST_COMPLETED
            )
            return await (repeating if repeating.done() else asking)
        finally:
            repeating.cancel()
            asking.cancel()

    async def download_chunk(
        self,
        rates: Mapping[str, int],
        manifest: FleetManifest,
        index: int,
        gone: tuple[str, ...] = (),
        *,
        is_substitute: bool = False,
    ) -> bytes | None:
        """Return a chunk; bytes from the origin are unverified.

        A daemon that runs and lacks the chunk is downloading it. The sources
        after it are asked only if that takes too long.

        :param rates: bytes a second by address, in the order in which the
            daemons are asked; zero: no limit.
        :param gone: daemons that would be asked if they accepted connections.
        :param is_substitute: whether this daemon asks the origin if the
            daemons take too long.
        :return: bytes, or ``None`` if no source has the chunk.
        """
        content = await self._ask_daemons(rates, manifest, index, gone)
        if content is None and (
            not self._is_any_running(rates, manifest.model)
            or (is_substitute and not self._is_patient(manifest, index))
        ):
            content = await self._ask_origin(manifest, index)
        if manifest.matches(index, content):
            self.patience.note_arrived(manifest.model_version, index)
        return content

    async def fetch_held(
        self, addresses: Sequence[str], manifest: FleetManifest, index: int
    ) -> bytes | None:
        """Return a chunk from hosts that hold its version, if one has it."""
        for address in self.reach.order(list(addresses)):
            content = await self._fetch(address, manifest, index)
            if manifest.matches(index, content):
                self.patience.note_arrived(manifest.model_version, index)
                return content
        return None

    async def _ask_daemons(
        self,
        rates: Mapping[str, int],
        manifest: FleetManifest,
        index: int,
        gone: tuple[str, ...],
    ) -> bytes | None:
        """Ask daemons in turn, as far as none of them is to be waited for."""
        for address in self.reach.order(list(rates)):
            options = ChunkOptions(
                rate=rates[address], gone=gone, is_relay=self.is_relay
            )
            content = await self._fetch(address, manifest, index, options)
            if manifest.matches(index, content):
                return content
            is_running = content is None and not self.reach.is_silent(address)
            if is_running and self._is_patient(manifest, index):
                return None
        return None

    async def _fetch(
        self,
        address: str,
        manifest: FleetManifest,
        index: int,
        options: ChunkOptions | None = None,
    ) -> bytes | None:
        return await fetch_chunk(
            session=self.session,
            reach=self.reach,
            address=address,
            manifest=manifest,
            index=index,
            options=options or ChunkOptions(is_relay=self.is_relay),
        )

    def _is_patient(self, manifest: FleetManifest, index: int) -> bool:
        """Tell whether to wait for a daemon that is downloading a chunk."""
        seconds = measure_patience(self.state, manifest.model)
        return bool(seconds) and not self.patience.is_over(
            manifest.model_version, index, seconds
        )

    def _is_any_running(
        self, addresses: Iterable[str], model: ModelName
    ) -> bool:
        """Tell whether one of the daemons is to draw from the origin.

        Daemons whose origin's rate is unknown are not waited for.
        """
        running = self.reach.list_responsive(addresses)
        return bool(running and measure_patience(self.state, model))

    async def _ask_origin(
        self, manifest: FleetManifest, index: int
    ) -> bytes | None:
        origin = find_origin(self.state)
        if origin is None:
            return None
        async with self.origin_turns.take(manifest.model_version, index):
            if not self.is_current(manifest.model, manifest.version):
                return None
            ORIGIN_CHUNKS.add(1)
            return await self.calls.read_chunk(origin.origin, manifest, index)

    async def _ask_all(
        self,
        addresses: Sequence[str],
        model: ModelName,
        version: int,
        *,
        is_substitute: bool,
    ) -> FleetManifest | None:
        """Ask the daemons in turn, then the origin unless they ask it."""
        manifest = await fetch_manifest(
            session=self.session,
            reach=self.reach,
            addresses=addresses,
            model=model,
            version=version,
        )
        origin = find_origin(self.state)
        if manifest is not None or origin is None:
            return manifest
        if not is_substitute and self._is_any_running(addresses, model):
            return None
        return await self.calls.read_manifest_twice(
            origin.origin, model, version
        )

    async def _ask_again(
        self, addresses: Sequence[str], model: ModelName, version: int
    ) -> FleetManifest:
        """Ask the first daemon until it has the manifest."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            manifest = await fetch_manifest(
                session=self.session,
                reach=self.reach,
                addresses=self.reach.order(list(addresses))[:1],
                model=model,
                version=version,
            )
            if manifest is not None:
                return manifest

"""Download of manifests and chunks from daemons, then from the origin."""

import asyncio
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import aiohttp

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.planning.chunk_options import ChunkOptions

# Pause between requests for a manifest to the first daemon while the sources
# after it are slow.
REPEAT_SECONDS: Final = 0.3


def find_origin(state: FleetState) -> ServiceRules | None:
    """Return the origin of weights, if the desired state names one."""
    if state.desired is None:
        return None
    services = state.desired.services.values()
    return next((rules for rules in services if rules.origin), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetDownloader:
    """Downloader that asks daemons in a given order, then the origin.

    :param is_relay: whether an entry daemon asks.
    """

    session: aiohttp.ClientSession
    state: FleetState
    calls: OriginCalls
    is_relay: bool = False
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    async def read_manifest(
        self, addresses: Iterable[str], model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a version's manifest, or ``None`` if no source has it.

        A source behind a cut, or an origin with a full link, takes seconds.
        The first daemon may have read the manifest meanwhile.
        """
        listed = tuple(addresses)
        asking = asyncio.ensure_future(self._ask_all(listed, model, version))
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
    ) -> bytes | None:
        """Return a chunk; bytes from the origin are unverified.

        :param rates: bytes a second by address, in the order in which the
            daemons are asked; zero: no limit.
        :param gone: daemons that would be asked if they accepted connections.
        :return: bytes, or ``None`` if no source has the chunk.
        """
        for address in self.reach.order(list(rates)):
            content = await fetch_chunk(
                session=self.session,
                reach=self.reach,
                address=address,
                manifest=manifest,
                index=index,
                options=ChunkOptions(
                    rate=rates[address], gone=gone, is_relay=self.is_relay
                ),
            )
            if manifest.matches(index, content):
                return content
        origin = find_origin(self.state)
        if origin is None:
            return None
        return await self.calls.read_chunk(origin.origin, manifest, index)

    async def _ask_all(
        self, addresses: Sequence[str], model: ModelName, version: int
    ) -> FleetManifest | None:
        """Ask the daemons in turn, then the origin."""
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

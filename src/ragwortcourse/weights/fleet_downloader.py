"""Download of manifests and chunks from daemons, then from the origin."""

import dataclasses
from collections.abc import Iterable, Mapping

import aiohttp

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.peer_reach import PeerReach


def find_origin(state: FleetState) -> ServiceRules | None:
    """Return the origin of weights, if the desired state names one."""
    if state.desired is None:
        return None
    services = state.desired.services.values()
    return next((rules for rules in services if rules.origin), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetDownloader:
    """Downloader that asks daemons in a given order, then the origin."""

    session: aiohttp.ClientSession
    state: FleetState
    calls: OriginCalls
    reach: PeerReach = dataclasses.field(default_factory=PeerReach)

    async def read_manifest(
        self, addresses: Iterable[str], model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a version's manifest, or ``None`` if no source has it."""
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
                rate=rates[address],
                gone=gone,
            )
            if manifest.matches(index, content):
                return content
        origin = find_origin(self.state)
        if origin is None:
            return None
        return await self.calls.read_chunk(origin.origin, manifest, index)

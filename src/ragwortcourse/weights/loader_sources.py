"""Where a loader draws manifests and chunks from."""

import aiohttp

from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import ModelName
from ragwortcourse.settings import Settings
from ragwortcourse.weights.chunk_routes import fetch_chunk
from ragwortcourse.weights.chunk_sources import MANIFEST, list_loader_sources
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.peer_reach import PeerReach
from ragwortcourse.weights.relay_drawing import ListRelays, find_origin


class LoaderSources:
    """The relays, and the origin where none has what is wanted."""

    def __init__(
        self,
        *,
        settings: Settings,
        state: FleetState,
        session: aiohttp.ClientSession,
        list_relays: ListRelays,
        calls: OriginCalls,
    ) -> None:
        self._settings = settings
        self._state = state
        self._session = session
        self._list_relays = list_relays
        self._calls = calls
        self._reach = PeerReach()

    async def read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Digests of a version."""
        manifest = await fetch_manifest(
            session=self._session,
            reach=self._reach,
            addresses=await self._list_addresses(MANIFEST),
            model=model,
            version=version,
        )
        origin = find_origin(self._state)
        if manifest is not None or origin is None:
            return manifest
        return await self._calls.read_manifest_twice(
            origin.origin, model, version
        )

    async def draw(
        self, manifest: FleetManifest, index: int, rate: int
    ) -> bytes | None:
        """Bytes of a chunk at a rate in bytes a second, unchecked."""
        for address in self._reach.order(await self._list_addresses(index)):
            content = await fetch_chunk(
                session=self._session,
                reach=self._reach,
                address=address,
                manifest=manifest,
                index=index,
                rate=rate,
            )
            if manifest.matches(index, content):
                return content
        origin = find_origin(self._state)
        if origin is None:
            return None
        return await self._calls.read_chunk(origin.origin, manifest, index)

    async def _list_addresses(self, index: int) -> list[str]:
        sources = list_loader_sources(
            relays=await self._list_relays(),
            domain=self._settings.failure_domain,
            index=index,
        )
        return [relay.address for relay in sources]

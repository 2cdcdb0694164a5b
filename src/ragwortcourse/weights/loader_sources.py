"""Where a loader draws manifests and chunks from."""

import dataclasses

from ragwortcourse.identifiers import FailureDomainName, ModelName
from ragwortcourse.weights.chunk_sources import list_loader_sources
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX
from ragwortcourse.weights.relay_downloader import ListRelays


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderSources:
    """The relays, and the origin where none has what is wanted.

    :param domain: of the loader.
    """

    drawing: FleetDownloader
    domain: FailureDomainName
    list_relays: ListRelays

    async def read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Digests of a version."""
        addresses = await self._list_addresses(MANIFEST_INDEX)
        return await self.drawing.read_manifest(addresses, model, version)

    async def draw(
        self, manifest: FleetManifest, index: int, rate: int
    ) -> bytes | None:
        """Bytes of a chunk at a rate in bytes a second, unchecked."""
        addresses = await self._list_addresses(index)
        return await self.drawing.draw(
            dict.fromkeys(addresses, rate), manifest, index
        )

    async def _list_addresses(self, index: int) -> list[str]:
        sources = list_loader_sources(
            relays=await self.list_relays(), domain=self.domain, index=index
        )
        return [relay.address for relay in sources]

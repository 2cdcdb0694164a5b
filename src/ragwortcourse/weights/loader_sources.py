"""Sources from which a loader downloads manifests and chunks."""

import dataclasses
from collections.abc import Sequence

from ragwortcourse.identifiers import FailureDomainName, ModelName
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.weights.chunk_sources import list_loader_sources
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX
from ragwortcourse.weights.relay_downloader import ListRelays


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderSources:
    """Downloads from relays, then from the origin.

    :param domain: failure domain of the loader.
    :param list_relays: lists the entry daemons that serve chunks.
    """

    downloader: FleetDownloader
    domain: FailureDomainName
    list_relays: ListRelays

    async def read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a version's manifest, or ``None`` if no source has it."""
        addresses = self._list_addresses(
            await self.list_relays(), MANIFEST_INDEX
        )
        return await self.downloader.read_manifest(addresses, model, version)

    async def download_chunk(
        self, manifest: FleetManifest, index: int, rate: int
    ) -> bytes | None:
        """Return the unverified bytes of a chunk.

        :param rate: bytes a second at which a relay sends; zero: no limit.
        :return: bytes, or ``None`` if no source has the chunk.
        """
        relays = await self.list_relays()
        addresses = self._list_addresses(relays, index)
        return await self.downloader.download_chunk(
            dict.fromkeys(addresses, rate),
            manifest,
            index,
            gone=tuple(
                relay.address
                for relay in relays
                if relay.failure_domain == self.domain
                and self.downloader.reach.is_silent(relay.address)
            ),
        )

    def _list_addresses(
        self, relays: Sequence[RelayRecord], index: int
    ) -> list[str]:
        """List the daemons to ask, without those that are down if possible."""
        running = [
            relay
            for relay in relays
            if not self.downloader.reach.is_silent(relay.address)
        ]
        sources = list_loader_sources(
            relays=running or relays, domain=self.domain, index=index
        )
        return [relay.address for relay in sources]

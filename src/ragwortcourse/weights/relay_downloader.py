"""Download of chunks and manifests by an entry daemon."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ragwortcourse.forwarding.forwarder import read_fleet_settings
from ragwortcourse.identifiers import (
    DaemonId,
    ModelName,
    RegionName,
)
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.settings import Settings
from ragwortcourse.weights.chunk_cache import ChunkCache
from ragwortcourse.weights.chunk_sources import (
    choose_rate,
    choose_start,
    list_loader_sources,
    list_relay_sources,
    list_replaced,
    list_roots,
    order_prefetch,
)
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest_routes import fetch_manifest
from ragwortcourse.weights.peer_port import MANIFEST_INDEX
from ragwortcourse.weights.planning.holders import list_holders
from ragwortcourse.weights.planning.loader_demand import LoaderDemand
from ragwortcourse.weights.planning.origin_link import (
    count_roots,
    find_origin,
    read_chunk_bytes,
    read_origin_rate,
)
from ragwortcourse.weights.planning.prefetch import CONCURRENT_PREFETCHES

# Hosts whose engine holds the version that are asked before relays and the
# origin.
MAX_HOLDERS: Final = 2

ListRelays = Callable[[], Awaitable[Sequence[RelayRecord]]]


class RelayDownloader:
    """Downloader that asks hosts with the version, relays, then the origin.

    :param list_relays: lists the entry daemons that serve chunks.
    :param is_alive: tells whether another daemon sent a message recently.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        downloader: FleetDownloader,
        list_relays: ListRelays,
        rng: random.Random,
        is_alive: Callable[[DaemonId], bool],
    ) -> None:
        self._settings = settings
        self._is_alive = is_alive
        self._downloader = downloader
        self._state = downloader.state
        self._list_relays = list_relays
        self._rng = rng
        self._is_alive = is_alive

    async def download_chunk(
        self, manifest: FleetManifest, index: int
    ) -> bytes | None:
        """Return a chunk, or ``None``; bytes from the origin are unverified."""
        holders = self._list_holders(manifest.model, manifest.version)
        content = await self._downloader.fetch_held(holders, manifest, index)
        if content is not None:
            return content
        relays = await self._list_relays()
        return await self._downloader.download_chunk(
            self._list_rates(index, relays),
            manifest,
            index,
            is_substitute=self._is_root(relays, index),
        )

    async def read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return a version's manifest, or ``None`` if no source has it."""
        held = await fetch_manifest(
            session=self._downloader.session,
            reach=self._downloader.reach,
            addresses=self._list_holders(model, version),
            model=model,
            version=version,
        )
        if held is not None:
            return held
        relays = await self._list_relays()
        sources = self._list_relay_sources(relays, MANIFEST_INDEX)
        return await self._downloader.read_manifest(
            [relay.address for relay in sources],
            model,
            version,
            is_substitute=self._is_root(relays, MANIFEST_INDEX),
        )

    async def list_own(self, manifest: FleetManifest) -> tuple[int, ...]:
        """Return the chunks for which others ask here first, in order."""
        relays = await self._list_relays()
        own = [
            index
            for index in range(len(manifest.digests))
            if self._is_asked_first(relays, index)
        ]
        return order_prefetch(
            own, lambda index: not self._list_relay_sources(relays, index)
        )

    async def list_replaced(
        self, manifest: FleetManifest, index: int, gone: tuple[str, ...]
    ) -> tuple[int, ...]:
        """Return the chunks after one that are due here as others are gone."""
        return list_replaced(
            relays=await self._list_relays(),
            own=self._settings.daemon,
            gone=gone,
            chunks=range(index + 1, len(manifest.digests)),
        )

    def read_start(self, manifest: FleetManifest, index: int) -> float:
        """Return the seconds from the manifest to the prefetch of a chunk."""
        return choose_start(
            origin=self._find_origin_region(),
            own=self._settings.region,
            index=index,
            chunk_bytes=read_chunk_bytes(self._state, manifest.model),
            origin_rate=read_origin_rate(self._state),
        )

    def _find_origin_region(self) -> RegionName:
        """Return the origin's region, or this daemon's if it is unknown."""
        origin = find_origin(self._state)
        if origin is None or origin.origin_domain is None:
            return self._settings.region
        domains = read_fleet_settings(self._settings).failure_domains
        return domains[origin.origin_domain]

    def _is_asked_first(
        self, relays: Sequence[RelayRecord], index: int
    ) -> bool:
        """Tell whether loaders or all other relays ask here for a chunk."""
        asked_by_loaders = list_loader_sources(
            relays=relays, domain=self._settings.failure_domain, index=index
        )
        if any(
            relay.daemon == self._settings.daemon
            for relay in asked_by_loaders[:1]
        ):
            return True
        return not self._list_relay_sources(relays, index)

    def _list_relay_sources(
        self, relays: Sequence[RelayRecord], index: int
    ) -> tuple[RelayRecord, ...]:
        return list_relay_sources(
            relays=self._list_running(relays),
            own=self._settings.daemon,
            origin_region=self._find_origin_region(),
            index=index,
            most_roots=count_roots(self._state),
        )

    def _is_root(self, relays: Sequence[RelayRecord], index: int) -> bool:
        """Tell whether this relay may draw a chunk from the origin."""
        roots = list_roots(
            self._list_running(relays),
            origin_region=self._find_origin_region(),
            index=index,
            most_roots=count_roots(self._state),
        )
        return any(root.daemon == self._settings.daemon for root in roots)

    def _list_running(
        self, relays: Sequence[RelayRecord]
    ) -> Sequence[RelayRecord]:
        """List the relays that accept connections, as far as is known."""
        reach = self._downloader.reach
        return [relay for relay in relays if not reach.is_silent(relay.address)]

    def _list_holders(self, model: ModelName, version: int) -> list[str]:
        """List some addresses of hosts whose engine holds a version."""
        holders = list_holders(
            self._state, model, version, self._settings.failure_domain
        )
        self._rng.shuffle(holders)
        port = self._settings.listen.peers.rpartition(':')[2]
        return [f'{host}:{port}' for host in holders[:MAX_HOLDERS]]

    def _list_rates(
        self, index: int, known: Sequence[RelayRecord]
    ) -> dict[str, int]:
        """Map addresses to rates, in the order in which they are asked."""
        domain = self._settings.failure_domain
        near = sum(
            relay.failure_domain == domain and self._is_alive(relay.daemon)
            for relay in known
        )
        return {
            relay.address: choose_rate(
                source=relay.region,
                own=self._settings.region,
                near=near,
                at_once=CONCURRENT_PREFETCHES,
            )
            for relay in self._list_relay_sources(known, index)
        }


def build_cache(
    *, downloader: RelayDownloader, demand: LoaderDemand
) -> ChunkCache:
    """Build a cache that downloads from other daemons and the origin.

    :param demand: versions that loaders ask for.
    """
    return ChunkCache(
        read_manifest=downloader.read_manifest,
        download_chunk=downloader.download_chunk,
        list_own=downloader.list_own,
        list_replaced=downloader.list_replaced,
        read_start=downloader.read_start,
        is_wanted=demand.is_wanted,
    )

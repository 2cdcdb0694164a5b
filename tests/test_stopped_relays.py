"""Tests of the time that a version takes while relays stop and restart."""

import asyncio
import functools

import pytest

from fakes.fleet_parts import FAR_DOMAIN, MODEL, NEAR_DOMAIN, REGIONS
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.identifiers import DaemonId
from ragwortcourse.membership.relay_daemons import RelayRecord
from ragwortcourse.weights import fleet_downloader
from ragwortcourse.weights.chunk_cache import ChunkCache
from ragwortcourse.weights.chunk_routes import WAIT_SECONDS
from ragwortcourse.weights.chunk_sources import (
    choose_rate,
    choose_start,
    list_loader_sources,
    list_replaced,
)
from ragwortcourse.weights.fleet_downloader import FleetDownloader
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loader_sources import LoaderSources
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.origin_calls import OriginCalls
from ragwortcourse.weights.planning.prefetch import CONCURRENT_PREFETCHES
from ragwortcourse.weights.version_drawing import (
    CONCURRENT_DOWNLOADS,
    RETRY_SECONDS,
)

pytestmark = pytest.mark.looptime
CHUNKS = 48
CHUNK_BYTES = 49_152
LOADER_RATE = 564_000
RELAYS = 4
GIVE_UP_SECONDS = 60
CROSSING_RATE = choose_rate(
    source=REGIONS[NEAR_DOMAIN],
    own=REGIONS[FAR_DOMAIN],
    near=RELAYS,
    at_once=CONCURRENT_PREFETCHES,
)


def make_chunk(index: int) -> bytes:
    """Make the bytes of a chunk."""
    return f'{index}'.encode()


MANIFEST = FleetManifest(
    model=MODEL,
    version=2,
    digests=tuple(digest_bytes(make_chunk(index)) for index in range(CHUNKS)),
)


class Domain:
    """Relays and a loader of a failure domain far from the origin.

    :ivar crossings: chunks downloaded from the other region.
    """

    def __init__(self) -> None:
        self.crossings: list[int] = []
        self.records = {
            f'relay-{number}:1': RelayRecord(
                daemon=DaemonId(f'relay-{number}'),
                address=f'relay-{number}:1',
                failure_domain=FAR_DOMAIN,
                region=REGIONS[FAR_DOMAIN],
            )
            for number in range(RELAYS)
        }
        self.caches: dict[str, ChunkCache] = {}
        for address in self.records:
            self.start(address)

    def start(self, address: str) -> None:
        """Start a relay with an empty cache."""
        own = self.records[address].daemon
        self.caches[address] = ChunkCache(
            read_manifest=self.read_manifest,
            download_chunk=self.cross,
            list_own=functools.partial(self.list_own, own),
            list_replaced=functools.partial(self.list_replaced, own),
            read_start=lambda manifest, index: choose_start(
                origin=REGIONS[NEAR_DOMAIN],
                own=REGIONS[FAR_DOMAIN],
                index=index,
                chunk_bytes=CHUNK_BYTES,
            ),
        )

    async def stop(self, address: str) -> None:
        """Stop a relay, which loses its cache."""
        await self.caches.pop(address).stop()

    async def read_manifest(self, model, version):
        """Return the manifest."""
        return MANIFEST

    async def list_own(self, own, manifest):
        """List the chunks for which loaders ask a relay first."""
        return tuple(
            index
            for index in range(CHUNKS)
            if list_loader_sources(
                relays=self.records.values(), domain=FAR_DOMAIN, index=index
            )[0].daemon
            == own
        )

    async def list_replaced(self, own, manifest, index, gone):
        """List the chunks that a relay sends instead of stopped ones."""
        return list_replaced(
            relays=self.records.values(),
            own=own,
            gone=gone,
            chunks=range(index + 1, CHUNKS),
        )

    async def cross(self, manifest, index):
        """Download a chunk over the link between regions."""
        self.crossings.append(index)
        await asyncio.sleep(CHUNK_BYTES / CROSSING_RATE)
        return make_chunk(index)

    async def fetch(self, *, session, reach, address, manifest, index, options):
        """Fetch a chunk from a relay, which refuses while it is stopped."""
        cache = self.caches.get(address)
        if cache is None:
            reach.note_silent(address)
            return None
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                if options.gone:
                    cache.note_gone(
                        manifest.model, manifest.version, index, options.gone
                    )
                content = await cache.find(
                    manifest.model, manifest.version, index
                )
        except TimeoutError:
            return None
        await asyncio.sleep(CHUNK_BYTES / options.rate)
        return content

    def build_sources(self) -> LoaderSources:
        """Build the sources of the loader."""

        async def list_relays():
            return tuple(self.records.values())

        async def fail(*_):
            return None

        return LoaderSources(
            downloader=FleetDownloader(
                session=None,
                state=FleetState(),
                calls=OriginCalls(read_manifest=fail, read_chunk=fail),
            ),
            domain=FAR_DOMAIN,
            list_relays=list_relays,
        )

    async def name(self) -> None:
        """Name the version to all relays."""
        for cache in self.caches.values():
            await cache.find_manifest(MODEL, MANIFEST.version)

    async def draw(self) -> float:
        """Download the version at a loader.

        :return: seconds until the last chunk.
        """
        sources = self.build_sources()
        queue = list(range(CHUNKS))
        began_at = read_clock()

        async def draw_some():
            while queue:
                index = queue.pop(0)
                rate = LOADER_RATE // CONCURRENT_DOWNLOADS
                if not await sources.download_chunk(MANIFEST, index, rate):
                    queue.append(index)
                    await asyncio.sleep(RETRY_SECONDS)

        async with asyncio.timeout(GIVE_UP_SECONDS):
            await asyncio.gather(
                *(draw_some() for _ in range(CONCURRENT_DOWNLOADS))
            )
        return read_clock() - began_at

    async def end(self) -> None:
        """Stop all relays."""
        for address in tuple(self.caches):
            await self.stop(address)


@pytest.fixture
async def domain(monkeypatch):
    """Provide a failure domain with four relays."""
    opened = Domain()
    monkeypatch.setattr(fleet_downloader, 'fetch_chunk', opened.fetch)
    yield opened
    await opened.end()


def limit_seconds(*, changes: int) -> float:
    """Limit the seconds that a version takes.

    The link of the loader carries all chunks, and waits for one chunk to cross
    the link between regions at first and after each start or stop of a relay.
    """
    link = CHUNKS * CHUNK_BYTES / LOADER_RATE
    return link + (1 + changes) * CHUNK_BYTES / CROSSING_RATE + RETRY_SECONDS


class TestStoppedRelays:
    """Versions that are named while relays stop in turn.

    Seen in an incident on edicola-padana: two of four relays of a failure
    domain stopped, a version took 6.8 s there and 4.3 s elsewhere, and all
    engines of the domain switched in the last second before the bound.
    """

    async def test_all_run(self, domain):
        """The link of the loader is the limit while all relays run."""
        await domain.name()
        assert await domain.draw() <= limit_seconds(changes=0)

    @pytest.mark.parametrize('stopped', [1, 2])
    async def test_relays_are_stopped(self, domain, stopped):
        """Other relays fetch the chunks of stopped ones ahead."""
        for number in range(stopped):
            await domain.stop(f'relay-{number}:1')
        await domain.name()
        assert await domain.draw() <= limit_seconds(changes=stopped)

    async def test_a_relay_stops_midway(self, domain):
        """A relay that stops takes its cache with it, and little time."""
        await domain.name()
        drawing = asyncio.ensure_future(domain.draw())
        await asyncio.sleep(1)
        await domain.stop('relay-0:1')
        assert await drawing <= limit_seconds(changes=1)

    async def test_each_chunk_crosses_once(self, domain):
        """The link between regions carries no chunk twice without need."""
        await domain.stop('relay-0:1')
        await domain.name()
        await domain.draw()
        assert len(domain.crossings) == len(set(domain.crossings))

    async def test_a_relay_restarts(self, domain):
        """A restarted relay fetches first what loaders still need."""
        await domain.name()
        drawing = asyncio.ensure_future(domain.draw())
        await asyncio.sleep(1)
        await domain.stop('relay-0:1')
        await asyncio.sleep(0.5)
        domain.start('relay-0:1')
        assert await drawing <= limit_seconds(changes=2)

"""Calls for weights between daemons and to the origin, over paced links.

The calls reach the product's own caches in memory. Bodies take the time of
the origin's link and of the links between regions, which their transfers
share; the receiver's link is paced by the sender as in the product.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

import aiohttp
import msgspec

from fakes.links import Link
from fakes.loader_host import make_manifest
from ragwortcourse.identifiers import ModelName, RegionName
from ragwortcourse.platform.weight_source import SILENT_SECONDS
from ragwortcourse.weights import chunk_routes, manifest_routes
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.planning.chunk_options import decode_options

LATENCY_SECONDS = 0.002
SLICES = 4
MANIFEST_BYTES_PER_CHUNK = 67
ORIGIN = '10.255.0.1:1'

FindChunk = Callable[[ModelName, int, int], Awaitable[bytes | None]]
FindManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]


class WeightLinks:
    """The origin, its link, and the links between regions.

    :param chunks: chunks of each version.
    :param chunk_bytes: bytes that each takes on a link.
    :param origin_rate: bytes a second of the origin's link.
    :param line_rate: bytes a second between two regions, each way.
    :ivar away: whether connections to the origin are not answered.
    :ivar corrupting: whether what the origin sends arrives corrupted.
    :ivar newest: newest version that the origin has; it has the one before.
    :ivar sent: bytes that the origin sent, by version.
    :ivar chunks_sent: how often the origin sent a chunk, by version and index.
    """

    def __init__(
        self,
        *,
        chunks: int,
        chunk_bytes: int,
        origin_rate: float,
        line_rate: float,
        origin_region: RegionName,
    ) -> None:
        self.chunks = chunks
        self.chunk_bytes = chunk_bytes
        self.origin_region = origin_region
        self.away = False
        self.corrupting = False
        self.newest = 1
        self.sent: Counter[int] = Counter()
        self.chunks_sent: Counter[tuple[int, int]] = Counter()
        self.lines: dict[tuple[RegionName, RegionName], Link] = {}
        self.crossed: Counter[tuple[RegionName, RegionName]] = Counter()
        self._line_rate = line_rate
        self._origin_link = Link(rate=origin_rate)
        self._places: dict[
            str,
            tuple[
                RegionName,
                FindChunk,
                FindManifest | None,
                chunk_routes.NoteAsked | None,
            ],
        ] = {}

    def listen(
        self,
        address: str,
        region: RegionName,
        find_chunk: FindChunk,
        find_manifest: FindManifest | None = None,
        note_asked: chunk_routes.NoteAsked | None = None,
    ) -> None:
        """Serve chunks and manifests at an address."""
        self._places[address] = (region, find_chunk, find_manifest, note_asked)

    def stop(self, address: str) -> None:
        """Let nothing listen at an address any more."""
        self._places.pop(address, None)

    async def call(
        self, region: RegionName, url: str, options: Mapping[str, str]
    ) -> tuple[int, bytes]:
        """Make a call; return its status and body."""
        parts = urlsplit(url)
        await asyncio.sleep(LATENCY_SECONDS)
        if parts.netloc == ORIGIN:
            query = {
                key: text[0] for key, text in parse_qs(parts.query).items()
            }
            return await self._ask_origin(region, parts.path, query)
        if parts.netloc not in self._places:
            raise aiohttp.ClientConnectionError(f'{parts.netloc}: refused')
        return await self._ask_daemon(region, parts.netloc, parts.path, options)

    async def _ask_origin(
        self, region: RegionName, path: str, query: Mapping[str, str]
    ) -> tuple[int, bytes]:
        if self.away:
            await asyncio.Event().wait()
        version = int(query['version'])
        if not self.newest - 1 <= version <= self.newest:
            return 410, b''
        manifest = make_manifest(version, self.chunks)
        if path.startswith('/manifest/'):
            size = self.chunks * MANIFEST_BYTES_PER_CHUNK
            wire = {'version': version, 'digests': list(manifest.digests)}
            body = msgspec.json.encode(wire)
        else:
            index = int(query['num'])
            self.chunks_sent[version, index] += 1
            size, body = self.chunk_bytes, _make_chunk(version, index)
        for _ in range(SLICES):
            await self._pass(self._origin_link, size / SLICES)
            if self.away:
                await asyncio.sleep(SILENT_SECONDS)
                raise TimeoutError
            self.sent[version] += size // SLICES
        await self._cross(self.origin_region, region, size)
        if self.corrupting:
            body = body[:-9] + b'x' * 8 + body[-1:]
        return 200, body

    async def _ask_daemon(
        self,
        region: RegionName,
        address: str,
        path: str,
        options: Mapping[str, str],
    ) -> tuple[int, bytes]:
        source, find_chunk, find_manifest, note_asked = self._places[address]
        _, kind, model, version, *index = path.split('/')
        found: bytes | None = None
        with contextlib.suppress(TimeoutError):
            if kind == 'manifests' and find_manifest is not None:
                async with asyncio.timeout(manifest_routes.WAIT_SECONDS):
                    manifest = await find_manifest(
                        ModelName(model), int(version)
                    )
                if manifest is not None:
                    found = msgspec.json.encode(manifest)
            elif kind == 'chunks':
                if note_asked is not None:
                    note_asked(
                        ModelName(model),
                        int(version),
                        is_relay=decode_options(options).is_relay,
                    )
                async with asyncio.timeout(chunk_routes.WAIT_SECONDS):
                    found = await find_chunk(
                        ModelName(model), int(version), int(index[0])
                    )
        if found is None:
            return 404, b''
        size = self.chunk_bytes
        if kind == 'manifests':
            size = self.chunks * MANIFEST_BYTES_PER_CHUNK
        rate = decode_options(options).rate
        await self._cross(source, region, size, rate)
        return 200, found

    async def _cross(
        self, source: RegionName, target: RegionName, size: int, rate: int = 0
    ) -> None:
        """Send bytes between regions, no faster than a rate."""
        line = None
        if source != target:
            self.crossed[source, target] += size
            line = self.lines.setdefault(
                (source, target), Link(rate=self._line_rate)
            )
        for _ in range(SLICES):
            if rate:
                await asyncio.sleep(size / SLICES / rate)
            if line is not None:
                await self._pass(line, size / SLICES)
        await asyncio.sleep(LATENCY_SECONDS)

    async def _pass(self, link: Link, size: float) -> None:
        until = link.reserve(size)
        await asyncio.sleep(until - asyncio.get_running_loop().time())


class WeightSession:
    """The part of an HTTP session that downloads of weights use."""

    def __init__(self, *, links: WeightLinks, region: RegionName) -> None:
        self._links = links
        self._region = region

    @contextlib.asynccontextmanager
    async def get(
        self,
        url: str,
        *,
        timeout: aiohttp.ClientTimeout,
        params: Mapping[str, str] | None = None,
    ) -> AsyncIterator[SimpleNamespace]:
        """Make a call; it fails after the time without an answer."""
        limit = timeout.total
        if urlsplit(url).netloc == ORIGIN and self._links.away:
            limit = timeout.sock_connect
        async with asyncio.timeout(limit):
            status, body = await self._links.call(
                self._region, url, params or {}
            )

        async def iterate() -> AsyncIterator[bytes]:
            yield body

        yield SimpleNamespace(
            url=url, status=status, content=SimpleNamespace(iter_any=iterate)
        )


def _make_chunk(version: int, index: int) -> bytes:
    return f'{version}/{index}'.encode() * 100

"""A loader in the event loop of a test; sources and engine are in memory."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence

from fakes.fleet_parts import ENGINES, FLEET, MODEL, make_state, make_target
from fakes.staged_engine import StagedEngine
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.load_messages import SwitchMessage
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ModelName
from ragwortcourse.settings import LoaderSettings
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.version_drawing import download_versions

CHUNKS = 4
ENGINE = '10.0.0.1:1'


def make_chunk(version: int, index: int) -> bytes:
    """Make the content of a chunk."""
    return f'{version}/{index}'.encode() * 100


def make_manifest(version: int, chunks: int = CHUNKS) -> FleetManifest:
    """Make the manifest of a version."""
    return FleetManifest(
        model=MODEL,
        version=version,
        digests=tuple(
            digest_bytes(make_chunk(version, index)) for index in range(chunks)
        ),
    )


class LoaderHost:
    """A loader with a fake engine and fake sources.

    :ivar drawn: versions and indexes of downloaded chunks, in order.
    :ivar spoilt: number of downloads that return corrupted content.
    :ivar reachable: whether any source answers.
    :ivar unknown: version whose manifest is unavailable.
    :ivar missing: version and index of an unavailable chunk.
    :ivar seconds: duration of a download.
    :ivar notices: announced switch messages, in order.
    :ivar service: addresses of the engines of the service.

    :param engine: engine that outlives another loader.
    """

    def __init__(
        self,
        *,
        version: int = 0,
        link_mbps: float = 4.7,
        engine: StagedEngine | None = None,
    ) -> None:
        self.engine = engine or StagedEngine(version=version)
        self.service = [ENGINE]
        self.drawn: list[tuple[int, int]] = []
        self.spoilt = 0
        self.reachable = True
        self.unknown = 0
        self.missing: tuple[int, int] | None = None
        self.seconds = 0.1
        self.notices: list[SwitchMessage] = []
        self.state = make_state()
        self.loading = LoaderWeights(
            fleet=FLEET,
            loader=LoaderSettings(
                engine=ENGINE, service=ENGINES, link_mbps=link_mbps
            ),
            state=self.state,
            ports=LoaderWeightsPorts(
                engine=self.engine,
                read_manifest=self.read_manifest,
                download_chunk=self.draw,
                announce=self.announce,
                list_service=self.list_service,
            ),
        )

    async def read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        """Return the manifest of a version if it is available."""
        if not self.reachable or version == self.unknown:
            return None
        return make_manifest(version)

    async def draw(
        self, manifest: FleetManifest, index: int, rate: int
    ) -> bytes | None:
        """Return a chunk after the download time."""
        await asyncio.sleep(self.seconds)
        if not self.reachable or self.missing == (
            manifest.version,
            index,
        ):
            return None
        self.drawn.append((manifest.version, index))
        if self.spoilt:
            self.spoilt -= 1
            return b'spoilt'
        return make_chunk(manifest.version, index)

    async def announce(self, message: SwitchMessage) -> None:
        """Record a switch message."""
        self.notices.append(message)

    async def list_service(self) -> Sequence[Target]:
        """List the engines of the service."""
        return [make_target(address=address) for address in self.service]

    def name(self, version: int) -> None:
        """Record that an operator names a version now."""
        named = AnnouncedVersion(
            version=version, seen_at=read_clock_with_suspend()
        )
        known = self.state.weights.get(MODEL, ())
        self.state.weights[MODEL] = (*known, named)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run the loader's tasks inside the context."""
        tasks = [
            asyncio.ensure_future(download_versions(self.loading)),
            asyncio.ensure_future(switch_engine(self.loading)),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def check_orders(self) -> None:
        """Check that each order found exactly its own version staged.

        :raises AssertionError: an order found other chunks.
        """
        for version, stage in self.engine.orders:
            whole = {
                index: make_chunk(version, index) for index in range(CHUNKS)
            }
            if stage != whole:
                raise AssertionError(f'version {version} loaded from {stage}')

"""A loader with the tasks that download and switch, and fake sources."""

import asyncio
import dataclasses
from collections.abc import Sequence

from fakes.fleet_parts import ENGINE_RULES, ENGINES, FLEET, make_target
from fakes.held_tasks import HeldTasks
from fakes.late_engine import LateEngine
from fakes.loader_host import make_chunk, make_manifest
from ragwortcourse.forwarding.desired_state import DesiredState
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.load_messages import SwitchMessage
from ragwortcourse.forwarding.service_rules import ServiceRules
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ModelName
from ragwortcourse.settings import LoaderSettings
from ragwortcourse.weights.engine_switch import switch_engine
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.version_drawing import download_versions

CHUNKS = 12
RULES = dataclasses.replace(ENGINE_RULES, chunks=CHUNKS)
# The origin serves the newest version and the one before.
VERSIONS_SERVED = 2


def make_desired() -> DesiredState:
    """Make a desired state with one service of engines."""
    service = ServiceRules(name=ENGINES, cold_rate=36, engine=RULES)
    return DesiredState(version=1, routes={}, services={ENGINES: service})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoundSite:
    """What outlives a loader.

    :param addresses: addresses of the service's engines.
    :param own: address of the engine beside the loader.
    :param link_mbps: bandwidth of its host's link.
    """

    engine: LateEngine
    state: FleetState
    addresses: Sequence[str]
    own: str
    link_mbps: float


class RoundLoader:
    """A process of the loader.

    :ivar tasks: its tasks.
    """

    def __init__(self, site: RoundSite) -> None:
        self.tasks = HeldTasks()
        self._site = site
        self._weights = LoaderWeights(
            fleet=FLEET,
            loader=LoaderSettings(
                engine=site.own, service=ENGINES, link_mbps=site.link_mbps
            ),
            state=site.state,
            ports=LoaderWeightsPorts(
                engine=site.engine,
                read_manifest=self._read_manifest,
                download_chunk=self._download_chunk,
                announce=self._announce,
                list_service=self._list_service,
            ),
        )

    def start(self) -> None:
        """Start its tasks."""
        self.tasks.start(
            download_versions(self._weights), switch_engine(self._weights)
        )

    async def _read_manifest(
        self, model: ModelName, version: int
    ) -> FleetManifest | None:
        named = self._site.state.weights.get(model, ())
        newest = max((each.version for each in named), default=1)
        if version <= newest - VERSIONS_SERVED:
            return None
        return make_manifest(version, CHUNKS)

    async def _download_chunk(
        self, manifest: FleetManifest, index: int, rate: int
    ) -> bytes:
        await asyncio.sleep(RULES.chunk_bytes / rate)
        return make_chunk(manifest.version, index)

    async def _announce(self, message: SwitchMessage) -> None:
        """Tell nobody: no entry daemon listens."""

    async def _list_service(self) -> Sequence[Target]:
        return [
            make_target(address=address) for address in self._site.addresses
        ]

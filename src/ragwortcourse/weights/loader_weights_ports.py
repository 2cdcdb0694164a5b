"""Ports that a loader's weights use."""

import dataclasses
from collections.abc import Awaitable, Callable, Sequence

from ragwortcourse.forwarding.switch_notice import Announce
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.engine_port import EnginePort
from ragwortcourse.weights.fleet_manifest import FleetManifest

DownloadChunkAtRate = Callable[
    [FleetManifest, int, int], Awaitable[bytes | None]
]
ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]
ListService = Callable[[], Awaitable[Sequence[Target]]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderWeightsPorts:
    """Ports to the engine, the origin and other daemons.

    :param engine: engine on the same host.
    :param read_manifest: reads the manifest of a model version.
    :param download_chunk: downloads a chunk at a rate in bytes per second,
        without a digest check.
    :param announce: notifies entry daemons of a switch.
    :param list_service: lists the current targets of the same service.
    """

    engine: EnginePort
    read_manifest: ReadManifest
    download_chunk: DownloadChunkAtRate
    announce: Announce
    list_service: ListService

"""What a loader needs from outside."""

import dataclasses
from collections.abc import Awaitable, Callable, Sequence

from ragwortcourse.forwarding.switch_notice import Announce
from ragwortcourse.forwarding.target import Target
from ragwortcourse.identifiers import ModelName
from ragwortcourse.weights.engine_port import EnginePort
from ragwortcourse.weights.fleet_manifest import FleetManifest

DrawChunk = Callable[[FleetManifest, int, int], Awaitable[bytes | None]]
ReadManifest = Callable[[ModelName, int], Awaitable[FleetManifest | None]]
ListService = Callable[[], Awaitable[Sequence[Target]]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoaderWeightsPorts:
    """Ports to the engine, the origin and other daemons.

    :param draw: bytes of a chunk at a rate in bytes a second, unchecked.
    :param announce: tells entry daemons of a switch.
    :param list_service: targets of the same service, as listed now.
    """

    engine: EnginePort
    read_manifest: ReadManifest
    draw: DrawChunk
    announce: Announce
    list_service: ListService

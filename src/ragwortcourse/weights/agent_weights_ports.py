"""What the weights side of an agent needs from outside."""

import dataclasses
from collections.abc import Callable

from ragwortcourse.engines.engine import Engine
from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.storage.table import TableService
from ragwortcourse.weights.origin import WeightOrigin
from ragwortcourse.weights.peer_port import ChunkPort, Neighbours

CountRunning = Callable[[ModelName, VersionName, AdapterName | None], int]


def count_none() -> int:
    """No live requests, for agents that do not count them."""
    return 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentWeightsPorts:
    """Ports to engine, platform, peers and gate.

    :param neighbours: the agents believed to draw the same weights.
    :param count_running: requests under way on a version, or on one of its
        adapters; those waiting at the gate for it included.
    :param count_live: live requests under way on this host.
    """

    engine: Engine
    origin: WeightOrigin
    chunk_port: ChunkPort
    neighbours: Neighbours
    table: TableService
    count_running: CountRunning
    count_live: Callable[[], int] = count_none

"""Ports that an agent's weights use."""

import dataclasses
from collections.abc import Callable

from ragwortcourse.engines.engine import Engine
from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.storage.table import TableService
from ragwortcourse.weights.origin import WeightOrigin
from ragwortcourse.weights.peer_port import ChunkPort, ListPeers

CountRunning = Callable[[ModelName, VersionName, AdapterName | None], int]


def count_none() -> int:
    """Return zero, for agents that do not count live requests."""
    return 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentWeightsPorts:
    """Ports to the engine, the platform, peers and the gate.

    :param list_peers: lists the agents that download the same weights
        according to the last list of hosts, which may be out of date.
    :param count_running: counts running and queued requests of a version or
        of one of its adapters.
    :param count_live: counts live requests running on this host.
    """

    engine: Engine
    origin: WeightOrigin
    chunk_port: ChunkPort
    list_peers: ListPeers
    table: TableService
    count_running: CountRunning
    count_live: Callable[[], int] = count_none

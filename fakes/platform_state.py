"""State of the stand-in platform."""

import dataclasses

from fakes.faults import Faults
from fakes.memory_table import MemoryRows
from fakes.origin import OriginStore
from ragwortcourse.membership.hosts import HostRecord
from ragwortcourse.storage.objects import ObjectName


@dataclasses.dataclass(kw_only=True)
class Platform:
    """Rows, objects, list of hosts and weights, with their fault switches."""

    rows: MemoryRows = dataclasses.field(default_factory=MemoryRows)
    objects: dict[ObjectName, bytes] = dataclasses.field(default_factory=dict)
    records: list[HostRecord] = dataclasses.field(default_factory=list)
    origin: OriginStore = dataclasses.field(default_factory=OriginStore)
    table_faults: Faults = dataclasses.field(default_factory=Faults)
    object_faults: Faults = dataclasses.field(default_factory=Faults)
    host_faults: Faults = dataclasses.field(default_factory=Faults)

"""Size and length of one soak."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakSetup:
    """Parameters of one soak.

    :param seed: seed of the schedules and of the callers.
    :param fault_seconds: length of the schedule of faults.
    :param planned_seconds: length of the schedule of planned work after it.
    :param forwarders: number of forwarders.
    :param targets: number of targets of each service; engines have a loader.
    """

    seed: int
    fault_seconds: float = 0
    planned_seconds: float = 0
    forwarders: int = 3
    targets: int = 2

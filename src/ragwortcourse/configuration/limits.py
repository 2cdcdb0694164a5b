"""How much a target may take."""

import msgspec


class TargetLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of each target of a deployment.

    :param cold: requests at once on a target that has just started.
    :param warm: requests at once on a target that has proved itself.
    :param queue: requests that may wait at the gate.
    :param warm_seconds: shortest time from cold to warm, for targets that
        do not report their load.
    """

    cold: int = 1
    warm: int = 8
    queue: int = 32
    warm_seconds: float = 30.0

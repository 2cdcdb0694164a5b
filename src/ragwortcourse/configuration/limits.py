"""How much a target may take."""

import msgspec


class TargetLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of each target of a deployment.

    :param cold: requests at once on a target that has just started.
    :param warm: requests at once on a target that has proved itself.
    :param queue: requests that may wait at the gate.
    """

    cold: int = 1
    warm: int = 8
    queue: int = 32

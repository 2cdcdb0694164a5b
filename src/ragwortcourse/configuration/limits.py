"""Limits on concurrent and queued requests."""

import msgspec


class TargetLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits that apply to each target of a deployment.

    :param cold: concurrent requests on a target that has just started.
    :param warm: concurrent requests on a target after its slow start.
    :param queue: requests that may wait for admission.
    :param warm_seconds: shortest duration of the slow start, in seconds, for
        targets that do not report their load.
    """

    cold: int = 1
    warm: int = 8
    queue: int = 32
    warm_seconds: float = 30.0

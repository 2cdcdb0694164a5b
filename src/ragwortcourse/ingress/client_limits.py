"""Limits that operators set on what clients may send, and how slowly."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits of one version of the desired state; infinite where absent.

    :param header_bytes: size of the request line and all header lines.
    :param body_bytes: size of a body.
    :param header_seconds: time from the first byte of a head to its end.
    :param idle_seconds: time that a connection may be open without a
        request.
    """

    header_bytes: float = math.inf
    body_bytes: float = math.inf
    header_seconds: float = math.inf
    idle_seconds: float = math.inf


NO_LIMITS = ClientLimits()

"""Bounds of a process that follow from the memory of its host."""

import resource
from collections.abc import Callable
from typing import Final

from ragwortcourse.ingress.byte_budget import ByteBudget
from ragwortcourse.ingress.client_limits import ClientLimits
from ragwortcourse.ingress.ingress import Ingress
from ragwortcourse.settings import LimitSettings

BYTES_IN_MEGABYTE: Final = 1_000_000
# Memory of the smallest known host, taken where the memory is unknown.
SMALLEST_HOST_MB: Final = 200
# A daemon takes about 60 MB without clients.
OWN_MB: Final = 70
# The rest is left for copies and for memory that the allocator keeps.
BUDGET_SHARE: Final = 0.45
# Room for one body of 4 MB with its copy.
SMALLEST_BUDGET_MB: Final = 12
# Descriptors of a daemon without clients: listening sockets, connections to
# the store and to other daemons.
OWN_DESCRIPTORS: Final = 64
# A request that runs needs one more descriptor for its target.
CLIENT_SHARE: Final = 0.75


def compute_budget(limits: LimitSettings) -> int:
    """Compute the bytes that may be held for clients."""
    free = (limits.memory_mb or SMALLEST_HOST_MB) - OWN_MB
    budget = max(free * BUDGET_SHARE, SMALLEST_BUDGET_MB)
    return int(budget * BYTES_IN_MEGABYTE)


def read_most_connections(limits: LimitSettings) -> int:
    """Read how many connections of clients may be open.

    The limit of the process may be lower than the settings and may change.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limits.descriptors:
        descriptors = min(descriptors, limits.descriptors)
    return max(int((descriptors - OWN_DESCRIPTORS) * CLIENT_SHARE), 1)


def build_ingress(
    limits: LimitSettings, read_client_limits: Callable[[], ClientLimits]
) -> Ingress:
    """Build the bounds of a process.

    :param read_client_limits: reads the limits that operators set for callers.
    """
    return Ingress(
        budget=ByteBudget(total=compute_budget(limits)),
        read_limits=read_client_limits,
        read_most=lambda: read_most_connections(limits),
    )

"""Service times under one order of downloads.

Load pattern: versions that are named in quick succession compete for the same
links, and each may be served only until the bound of the next one. What an
order is worth is the time that it leaves without weights to begin a request
on, from the version that is held to the newest one.
"""

import math
from collections.abc import Iterator, Sequence
from typing import Final

from ragwortcourse.weights.planning.version_need import VersionNeed

# Time from the last chunk until an engine that switches at once has loaded.
ORDER_SECONDS: Final = 0.4
# Time from the last chunk until all engines of a service have switched one
# after the other.
SWITCH_SECONDS: Final = 2.5
# An older version is downloaded first only if that saves at least as much:
# the engine loads once more for it.
LEAST_GAIN_SECONDS: Final = 0.5
# The same if the newest version then misses its bound. Versions that compete
# for links take longer than estimated, which hits the newest one.
LEAST_GAIN_IF_LATE_SECONDS: Final = 1.0
# A version that no source offers counts as complete after this time.
HORIZON_SECONDS: Final = 60.0

VersionOrder = tuple[VersionNeed, ...]


def find_expiry(
    version: int, needs: Sequence[VersionNeed], bound: float
) -> float:
    """Find when requests may no longer begin on a version.

    :param needs: all named versions that are newer than the held one.
    """
    newer = (each.named_at for each in needs if each.version > version)
    return min(newer, default=math.inf) + bound


def list_complete(
    order: VersionOrder, now: float
) -> Iterator[tuple[VersionNeed, float]]:
    """List when each version of an order is complete here."""
    link_free_at = now
    origin_free_at = now
    for need in order:
        origin_free_at += need.origin_seconds
        link_free_at = max(link_free_at + need.link_seconds, origin_free_at)
        yield need, min(link_free_at, now + HORIZON_SECONDS)


class OrderTrial:
    """An order of versions, played through.

    :ivar gap: seconds without a version that may be served.
    :ivar risk: seconds by which the last engines of a service may be late
        with the first version, if they switch one after the other.
    """

    def __init__(
        self,
        order: VersionOrder,
        needs: Sequence[VersionNeed],
        *,
        now: float,
        covered_until: float,
        bound: float,
    ) -> None:
        self.order = order
        self.gap: float = 0
        self.risk: float = 0
        self._deadline = order[-1].named_at + bound
        self._newest_at = now
        is_first = True
        for need, complete_at in list_complete(order, now):
            self._newest_at = complete_at + ORDER_SECONDS
            expires_at = find_expiry(need.version, needs, bound)
            # A version that has expired by then is of no use.
            if self._newest_at < expires_at:
                if is_first:
                    switched_at = complete_at + SWITCH_SECONDS
                    self.risk = max(switched_at - covered_until, 0)
                    is_first = False
                self.gap += max(self._newest_at - covered_until, 0)
                covered_until = max(covered_until, expires_at)

    def improves(self, direct: 'OrderTrial') -> bool:
        """Tell whether this order is better than the newest version alone."""
        if self._newest_at > max(self._deadline, direct._newest_at):
            return direct.gap - self.gap > LEAST_GAIN_IF_LATE_SECONDS
        gain = direct.gap + direct.risk - self.gap - self.risk
        return self.gap <= direct.gap and gain >= LEAST_GAIN_SECONDS

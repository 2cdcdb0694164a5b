"""How far the expected waits of requests can be relied on.

Load pattern: arrivals at other daemons take slots that waiting requests were
expected to get, more of them at some times than at others. Requests that
waited in vain lower the wait that the next ones are expected to bear.
"""

import math
from typing import Final

from ragwortcourse.forwarding.urgency import URGENCIES

# One request in vain weighs as much as some tens that were served, so that
# nearly all held requests are served.
VAIN_FACTOR: Final = 0.5
SERVED_STEP: Final = 0.01
# Share that is taken while nothing is known of earlier waits.
USUAL_SHARE: Final = 0.3
# Without waiting requests, the past is forgotten in this time.
FORGETTING_SECONDS: Final = 30.0


class WaitConfidence:
    """Share of the useful time that a request is expected to wait at most."""

    def __init__(self) -> None:
        # The last one is of late requests.
        self._shares: list[float] = [USUAL_SHARE for _ in range(URGENCIES + 1)]
        self._noted_at: list[float] = [0 for _ in range(URGENCIES + 1)]

    def read(self, urgency: int, now: float) -> float:
        """Read the share for requests of an urgency."""
        age = max(now - self._noted_at[urgency], 0)
        weight = math.exp(-age / FORGETTING_SECONDS)
        return USUAL_SHARE + (self._shares[urgency] - USUAL_SHARE) * weight

    def note(self, urgency: int, now: float, *, is_served: bool) -> None:
        """Note the end of a wait."""
        share = self.read(urgency, now)
        self._shares[urgency] = (
            min(share + SERVED_STEP, 1) if is_served else share * VAIN_FACTOR
        )
        self._noted_at[urgency] = now

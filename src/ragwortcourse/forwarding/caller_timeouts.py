"""Times after which callers leave, and what these tell about callers."""

from typing import Final

from ragwortcourse.forwarding.route import Route

# The way of a request and of its answer between a caller and the daemon, and
# the wait in a busy process. A caller that leaves before its answer arrives
# learns nothing, and its target may run the request after that.
DELIVERY_SECONDS: Final = 0.05
# Callers abandon a stream after the longest of these without an event: this
# time, so many times the objective, and so many times the longest gap.
GAP_SECONDS: Final = 2.0
GAP_OBJECTIVES: Final = 4
GAP_PAUSES: Final = 8

# Time limits of callers differ by up to a seventh. A caller with less time
# left has been refused before.
FRESH_SHARE: Final = 0.84


class CallerTimeouts:
    """Longest remaining time seen from the callers of each route."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def is_first_try(self, route: str, time_left: float) -> bool:
        """Tell by the remaining time whether this is a caller's first try.

        :param route: name of the route.
        :param time_left: seconds that the caller still waits.
        """
        longest = max(self._longest.get(route, 0), time_left)
        self._longest[route] = longest
        return time_left >= longest * FRESH_SHARE


def find_longest_gap(route: Route) -> float:
    """Find the seconds without an event after which callers abandon a stream.

    The time until the first event counts, too.
    """
    return max(
        GAP_SECONDS,
        route.objective * GAP_OBJECTIVES,
        route.longest_gap * GAP_PAUSES,
    )

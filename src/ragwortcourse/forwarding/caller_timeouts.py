"""Detection of retries by the remaining time of their callers."""

from typing import Final

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

"""How long callers of a route usually wait."""

from typing import Final

# Time limits of callers differ by up to a seventh; who has less of it left
# has been refused before.
FRESH_SHARE: Final = 0.84


class CallerTimeouts:
    """Longest time left that callers of each route brought."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def is_first_try(self, route: str, time_left: float) -> bool:
        """Tell whether this is a caller's first try, by its time left."""
        longest = max(self._longest.get(route, 0), time_left)
        self._longest[route] = longest
        return time_left >= longest * FRESH_SHARE

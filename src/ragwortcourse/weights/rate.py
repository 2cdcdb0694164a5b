"""How fast bytes arrive."""

from typing import Final

from ragwortcourse.clock import read_clock

WINDOW_SECONDS: Final = 5.0


class RateMeter:
    """Bytes a second over the last one to two windows."""

    def __init__(self) -> None:
        self._began = read_clock()
        self._before = 0
        self._now = 0

    def add(self, size: int) -> None:
        """Count bytes that arrived at this moment."""
        self._turn_window()
        self._now += size

    def read(self) -> float:
        """Bytes a second."""
        self._turn_window()
        seconds = read_clock() - self._began
        if self._before:
            seconds += WINDOW_SECONDS
        return (self._before + self._now) / max(seconds, 1)

    def _turn_window(self) -> None:
        passed = read_clock() - self._began
        if passed < WINDOW_SECONDS:
            return
        self._before = self._now if passed < 2 * WINDOW_SECONDS else 0
        self._now = 0
        self._began += passed // WINDOW_SECONDS * WINDOW_SECONDS

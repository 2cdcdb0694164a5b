"""Measurement of the rate at which bytes arrive."""

from typing import Final

from ragwortcourse.clock import read_clock

WINDOW_SECONDS: Final = 5.0


class RateMeter:
    """Rate in bytes a second over the last one to two windows."""

    def __init__(self) -> None:
        self._window_started_at = read_clock()
        self._previous_bytes = 0
        self._current_bytes = 0

    def add(self, size: int) -> None:
        """Count bytes that arrived at this moment."""
        self._rotate_window()
        self._current_bytes += size

    def read(self) -> float:
        """Return the rate in bytes a second."""
        self._rotate_window()
        seconds = read_clock() - self._window_started_at
        if self._previous_bytes:
            seconds += WINDOW_SECONDS
        return (self._previous_bytes + self._current_bytes) / max(seconds, 1)

    def _rotate_window(self) -> None:
        elapsed = read_clock() - self._window_started_at
        if elapsed < WINDOW_SECONDS:
            return
        self._previous_bytes = (
            self._current_bytes if elapsed < 2 * WINDOW_SECONDS else 0
        )
        self._current_bytes = 0
        self._window_started_at += elapsed // WINDOW_SECONDS * WINDOW_SECONDS

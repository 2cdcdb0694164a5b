"""Count of events in a window that moves with the time."""

import collections


class TimeWindow:
    """Times of the events of the last seconds.

    :param seconds: length of the window.
    """

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Add an event."""
        self._times.append(now)
        # Bounds the memory where nobody counts.
        self.count(now)

    def count(self, now: float) -> int:
        """Count the events in the window that ends now."""
        oldest = now - self._seconds
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times)

"""Rate of events that weighs recent ones more."""

import math


class DecayingRate:
    """Events a second; the weight of each one decays exponentially.

    :param seconds: time constant of the decay.
    """

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._rate: float = 0
        self._at: float = 0

    def add(self, now: float, amount: float = 1) -> None:
        """Count events that happen now."""
        self._rate = self.read(now) + amount / self._seconds
        self._at = now

    def read(self, now: float) -> float:
        """Read the rate, in events a second."""
        return self._rate * math.exp(min(self._at - now, 0) / self._seconds)

"""Monotonic time of real and of virtual event loops."""

import asyncio
import time


class SuspensionMeter:
    """Time that the host was suspended, from two clocks of the system.

    The two can't be read at once: a process that is preempted between the
    readings measures too little. What is measured never falls, as the true
    time does not.
    """

    def __init__(self) -> None:
        self._seconds: float = 0

    def read(self) -> float:
        """Return the seconds since the host started that it was suspended."""
        measured = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
        self._seconds = max(self._seconds, measured)
        return self._seconds


SUSPENSION = SuspensionMeter()


def read_clock() -> float:
    """Return the monotonic seconds of the running event loop."""
    return asyncio.get_running_loop().time()


def read_clock_with_suspend() -> float:
    """Return the event loop's seconds plus the time the host was suspended.

    The monotonic clock stops while the host is suspended, but time limits
    set by other hosts keep running.
    """
    return read_clock() + SUSPENSION.read()

"""Monotonic time of real and of virtual event loops."""

import asyncio
import time


def read_clock() -> float:
    """Return the monotonic seconds of the running event loop."""
    return asyncio.get_running_loop().time()


def read_clock_with_suspend() -> float:
    """Return the event loop's seconds plus the time the host was suspended.

    The monotonic clock stops while the host is suspended, but time limits
    set by other hosts keep running.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return read_clock() + suspended

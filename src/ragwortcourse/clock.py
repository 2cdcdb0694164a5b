"""Monotonic time, the same for real and for virtual event loops."""

import asyncio
import time


def read_clock() -> float:
    """Monotonic seconds of the running event loop."""
    return asyncio.get_running_loop().time()


def read_clock_with_suspend() -> float:
    """Seconds of the running event loop, with those of its suspension.

    Monotonic time stands still while the host is suspended, bounds that
    others set do not.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return read_clock() + suspended
